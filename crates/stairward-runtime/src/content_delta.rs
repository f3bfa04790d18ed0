//! Deltas between successive versions of a large text content.
//!
//! An operator replaces a whole configuration to change one line of it. Sent whole to every node of a large fleet, it
//! occupies the links of the few sending nodes for seconds; a delta is only as long as the change.
//!
//! Content is split after each closing brace, that is into the entries of lists and tables. A delta references runs of
//! pieces of the earlier content and contains the text of new ones.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A part of the later content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
enum Part {
    /// A run of pieces of the earlier content: index of the first one, and count.
    Kept(usize, usize),
    /// Text that is not in the earlier content.
    New(String),
}

/// Instructions to build a later content from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDelta {
    parts: Vec<Part>,
    /// Digest of the later content, which detects that a delta was applied to the wrong earlier content.
    digest: u64,
}

impl ContentDelta {
    /// Computes the delta from `earlier` to `later`.
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

    /// Index of the piece that would extend the last part; none if that is new text.
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

    /// Builds the later content; none if `earlier` is not the content that the delta was computed from.
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
