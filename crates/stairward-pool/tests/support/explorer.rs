//! Exhaustive exploration of the reachable states of a small model.

use std::collections::HashSet;
use std::fmt::{Debug, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A model with finitely many states.
pub trait Model: Clone + Debug {
    /// A transition.
    type Action: Clone + Debug;

    /// All transitions enabled in this state.
    fn actions(&self) -> Vec<Self::Action>;

    /// Applies a transition.
    fn apply(&mut self, action: &Self::Action);

    /// Describes the invariant that this state violates, if any.
    fn violation(&self) -> Option<String>;
}

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: usize,
    /// The first invariant violation, with the actions that lead to it.
    pub violation: Option<String>,
}

/// Visits every reachable state depth first, until one violates an invariant.
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

/// Two 64-bit hashes of the state's debug output, which make a collision of different states negligible.
fn fingerprint(state: &impl Debug) -> (u64, u64) {
    let mut hashes = DebugHashes::default();
    write!(hashes, "{state:?}").expect("hashing cannot fail");
    "second".hash(&mut hashes.second);
    (hashes.first.finish(), hashes.second.finish())
}

#[derive(Default)]
struct DebugHashes {
    first: DefaultHasher,
    second: DefaultHasher,
}

impl Write for DebugHashes {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.first.write(text.as_bytes());
        self.second.write(text.as_bytes());
        self.second.write_u8(0);
        Ok(())
    }
}
