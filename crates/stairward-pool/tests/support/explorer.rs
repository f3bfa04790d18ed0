//! Explores every state that a small model can reach.

use std::collections::HashSet;
use std::fmt::{Debug, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A model with finitely many states.
pub trait Model: Clone + Debug {
    /// What may happen next.
    type Action: Clone + Debug;

    /// Everything that may happen in this state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Makes one thing happen.
    fn apply(&mut self, action: &Self::Action);

    /// What is wrong with this state, if anything.
    fn violation(&self) -> Option<String>;
}

/// What an exploration found.
#[derive(Debug)]
pub struct Exploration {
    /// How many different states were reached.
    pub states: usize,
    /// The first wrong state, with the actions that lead to it.
    pub violation: Option<String>,
}

/// Visits every reachable state, depth first, until one is wrong.
pub fn explore<M: Model>(start: M) -> Exploration {
    let mut seen = HashSet::new();
    let mut trace = Vec::new();
    let violation = visit(start, &mut seen, &mut trace);
    Exploration {
        states: seen.len(),
        violation,
    }
}

fn visit<M: Model>(
    state: M,
    seen: &mut HashSet<(u64, u64)>,
    trace: &mut Vec<M::Action>,
) -> Option<String> {
    if !seen.insert(fingerprint(&state)) {
        return None;
    }
    if let Some(violation) = state.violation() {
        return Some(format!("{violation} after {trace:?}"));
    }
    for action in state.actions() {
        let mut next = state.clone();
        next.apply(&action);
        trace.push(action);
        let violation = visit(next, seen, trace);
        trace.pop();
        if violation.is_some() {
            return violation;
        }
    }
    None
}

/// Two hashes of the state's text: 128 bits, so that different states are not taken for one.
fn fingerprint(state: &impl Debug) -> (u64, u64) {
    let mut hashes = TextHashes::default();
    write!(hashes, "{state:?}").expect("hashing cannot fail");
    "second".hash(&mut hashes.second);
    (hashes.first.finish(), hashes.second.finish())
}

#[derive(Default)]
struct TextHashes {
    first: DefaultHasher,
    second: DefaultHasher,
}

impl Write for TextHashes {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.first.write(text.as_bytes());
        self.second.write(text.as_bytes());
        self.second.write_u8(0);
        Ok(())
    }
}
