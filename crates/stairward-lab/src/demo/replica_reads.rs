//! Counts the reads that replicas answered, from a recorded history.

use std::collections::BTreeMap;

use stairward_checker::{CallerTransactionKind, History, HistoryEvent, Outcome, RequestId};
use stairward_types::{BackendId, GroupId};

/// Reads that were answered, and how many of them by replicas.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Reads that were answered.
    pub reads: u64,
    /// Those of them that a replica answered.
    pub by_replicas: u64,
}

impl ReadCounts {
    /// The share that replicas answered; zero when there were no reads.
    #[must_use]
    pub fn replica_share(self) -> f64 {
        if self.reads == 0 {
            return 0.0;
        }
        self.by_replicas as f64 / self.reads as f64
    }
}

/// Counts the answered reads of a history.
#[must_use]
pub fn count(history: &History) -> ReadCounts {
    let mut counter = Counter::default();
    for record in &history.records {
        counter.follow(&record.event);
    }
    counter.counts
}

#[derive(Default)]
struct Counter<'a> {
    primaries: BTreeMap<&'a GroupId, &'a BackendId>,
    /// Reads not yet ended, and whether a replica ran them last.
    open: BTreeMap<RequestId, bool>,
    counts: ReadCounts,
}

impl<'a> Counter<'a> {
    fn follow(&mut self, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::Elected { group, backend, .. } => {
                self.primaries.insert(group, backend);
            }
            HistoryEvent::RequestSent {
                request,
                kind: CallerTransactionKind::Read,
                ..
            } => {
                self.open.insert(*request, false);
            }
            HistoryEvent::StatementRan {
                group,
                backend,
                request: Some(request),
                ..
            } => {
                let on_replica = self.primaries.get(group) != Some(&backend);
                if let Some(by_replica) = self.open.get_mut(request) {
                    *by_replica = on_replica;
                }
            }
            HistoryEvent::RequestEnded {
                request, outcome, ..
            } => self.end(*request, *outcome),
            _ => {}
        }
    }

    fn end(&mut self, request: RequestId, outcome: Outcome) {
        let Some(by_replica) = self.open.remove(&request) else {
            return;
        };
        if outcome == Outcome::Answered {
            self.counts.reads += 1;
            self.counts.by_replicas += u64::from(by_replica);
        }
    }
}
