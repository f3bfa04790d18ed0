//! The platform's store as its readers see it.

use std::collections::BTreeMap;

use stairward_types::{Duration, Revision, Time};

use crate::simulated_network::NodeIndex;

/// Readers the store tolerates.
const READER_LIMIT: usize = 16;
/// A node counts as a reader for so long after it last asked.
const READER_WINDOW: Duration = Duration::from_secs(1);

/// Whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum StoreCondition {
    /// At once.
    #[default]
    Up,
    /// Not at all.
    Down,
}

/// A read that waits for a newer revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingRead {
    pub(super) node: NodeIndex,
    pub(super) life: u32,
}

/// What the store does with a read that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Answered with this revision.
    Answer(Revision),
    /// Held until there is something newer, or the reader's wait is over.
    Hold,
    /// Too many readers.
    TooMany,
    /// No answer.
    Silence,
}

/// The store's side of reads.
#[derive(Debug, Default)]
pub(super) struct SimulatedStore {
    pub(super) condition: StoreCondition,
    last_asked: BTreeMap<NodeIndex, Time>,
    waiting: Vec<WaitingRead>,
    /// Most nodes that asked within one window.
    pub(super) readers_max: usize,
    /// Reads refused because of too many readers.
    pub(super) refused: u64,
}

impl SimulatedStore {
    /// A read has arrived.
    pub(super) fn read(
        &mut self,
        now: Time,
        read: WaitingRead,
        after: Revision,
        newest: Revision,
    ) -> Admission {
        self.last_asked
            .retain(|_, asked| now.since(*asked) <= READER_WINDOW);
        let is_known = self.last_asked.contains_key(&read.node);
        if !is_known && self.last_asked.len() >= READER_LIMIT {
            self.refused += 1;
            return Admission::TooMany;
        }
        self.last_asked.insert(read.node, now);
        self.readers_max = self.readers_max.max(self.last_asked.len());
        if self.condition != StoreCondition::Up {
            return Admission::Silence;
        }
        if newest > after {
            return Admission::Answer(newest);
        }
        self.waiting.push(read);
        Admission::Hold
    }

    /// The wait of a held read is over; returns whether it was still held.
    pub(super) fn release(&mut self, read: WaitingRead) -> bool {
        let held = self.waiting.iter().position(|waiting| *waiting == read);
        if let Some(index) = held {
            self.waiting.swap_remove(index);
        }
        held.is_some() && self.condition == StoreCondition::Up
    }

    /// Something newer is there: takes all held reads out.
    pub(super) fn release_all(&mut self) -> Vec<WaitingRead> {
        if self.condition == StoreCondition::Up {
            std::mem::take(&mut self.waiting)
        } else {
            Vec::new()
        }
    }
}
