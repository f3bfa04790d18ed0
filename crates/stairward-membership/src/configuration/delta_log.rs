//! The latest deltas, kept to be passed on.

use std::collections::VecDeque;

use stairward_types::Revision;

use super::message::Delta;

/// Deltas kept.
const MAXIMUM_DELTAS: usize = 256;
/// Bytes of deltas kept, and sent in one answer.
const MAXIMUM_BYTES: usize = 256 * 1024;

/// An unbroken chain of deltas that ends at the revision in force. Holds at most 256 deltas and
/// 256 KiB.
#[derive(Debug, Clone, Default)]
pub struct DeltaLog {
    deltas: VecDeque<Delta>,
    bytes: usize,
}

impl DeltaLog {
    /// Adds a delta. One that does not continue the chain starts a new chain.
    pub fn push(&mut self, delta: Delta) {
        if self
            .deltas
            .back()
            .is_some_and(|last| last.revision != delta.after)
        {
            self.clear();
        }
        self.bytes += delta.document.len();
        self.deltas.push_back(delta);
        while self.deltas.len() > MAXIMUM_DELTAS || self.bytes > MAXIMUM_BYTES {
            let Some(oldest) = self.deltas.pop_front() else {
                break;
            };
            self.bytes -= oldest.document.len();
        }
    }

    /// Forgets everything, because the chain is broken.
    pub fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }

    /// The chain from `revision` to the newest; none when its start is not kept.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<Vec<Delta>> {
        let start = self
            .deltas
            .iter()
            .position(|delta| delta.after == revision)?;
        Some(self.deltas.range(start..).cloned().collect())
    }

    /// The newest delta alone.
    #[must_use]
    pub fn newest(&self) -> Option<Vec<Delta>> {
        self.deltas.back().map(|delta| vec![delta.clone()])
    }
}
