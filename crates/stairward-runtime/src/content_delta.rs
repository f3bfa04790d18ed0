//! What differs in a long content from the one before it.
//!
//! An operator replaces a whole configuration to change a line of it. Told whole to every node, it takes the links of the
//! few that tell it for seconds in a large fleet; told as a delta, it is as long as the change.
//!
//! A content is text, cut after each closing brace: the entries of lists and tables. A delta names runs of pieces of the
//! earlier content and holds the text of new ones.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A part of the later content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Part {
    /// So many pieces of the earlier content, from this one on.
    Kept(usize, usize),
    /// Text that the earlier content does not have.
    New(String),
}

/// How a later content is made from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDelta {
    parts: Vec<Part>,
    /// Of the later content: what is made of another earlier one shows.
    digest: u64,
}

impl ContentDelta {
    /// What makes `later` of `earlier`.
    #[must_use]
    pub fn between(earlier: &str, later: &str) -> Self {
        let known: Vec<&str> = pieces(earlier).collect();
        let mut places: BTreeMap<&str, usize> = BTreeMap::new();
        for (place, piece) in known.iter().enumerate() {
            places.entry(piece).or_insert(place);
        }
        let mut delta = Self {
            parts: Vec::new(),
            digest: xxh3_64(later.as_bytes()),
        };
        for piece in pieces(later) {
            let next = delta
                .next_kept()
                .filter(|next| known.get(*next) == Some(&piece));
            match next.or_else(|| places.get(piece).copied()) {
                Some(place) => delta.keep(place),
                None => delta.add(piece),
            }
        }
        delta
    }

    /// The piece that would go on with the last part; none where that is new text.
    fn next_kept(&self) -> Option<usize> {
        match self.parts.last() {
            Some(Part::Kept(from, count)) => Some(from + count),
            _ => None,
        }
    }

    fn keep(&mut self, place: usize) {
        match self.parts.last_mut() {
            Some(Part::Kept(from, count)) if *from + *count == place => *count += 1,
            _ => self.parts.push(Part::Kept(place, 1)),
        }
    }

    fn add(&mut self, piece: &str) {
        match self.parts.last_mut() {
            Some(Part::New(text)) => text.push_str(piece),
            _ => self.parts.push(Part::New(piece.to_owned())),
        }
    }

    /// The later content; none where the earlier one is not that which it was made for.
    #[must_use]
    pub fn apply(&self, earlier: &str) -> Option<String> {
        let known: Vec<&str> = pieces(earlier).collect();
        let mut later = String::with_capacity(earlier.len());
        for part in &self.parts {
            match part {
                Part::Kept(from, count) => {
                    let kept: Range<usize> = *from..from.checked_add(*count)?;
                    later.extend(known.get(kept)?.iter().copied());
                }
                Part::New(text) => later.push_str(text),
            }
        }
        (xxh3_64(later.as_bytes()) == self.digest).then_some(later)
    }
}

fn pieces(content: &str) -> impl Iterator<Item = &str> {
    content.split_inclusive('}')
}
