//! Turns what the stand-in back ends report into the history that is checked.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use stairward_checker::{HistoryEvent, Recorder, RequestId, TransactionId};
use stairward_proxy::cluster::Clock;
use stairward_standins::{GroundTruth, Observation, StatementOutcome, TransactionNumber};
use stairward_types::{BackendId, GroupId};

/// Key of the sqlcommenter comment that holds a request's number.
const REQUEST_KEY: &str = "request='";

/// Records the ground truth of all groups. The moments are taken from the run's own clock as the
/// reports come in, which is while the back end still holds the state that it reports on.
#[derive(Debug)]
pub struct Observer {
    recorder: Recorder,
    clock: Clock,
    groups: BTreeMap<BackendId, GroupId>,
    /// Transactions opened by `BEGIN`. Kept for the whole run, as the history is.
    explicit: Mutex<BTreeSet<(BackendId, TransactionNumber)>>,
}

impl Observer {
    /// An observer of the back ends of the groups given.
    #[must_use]
    pub fn new(recorder: Recorder, clock: Clock, groups: BTreeMap<BackendId, GroupId>) -> Self {
        Self {
            recorder,
            clock,
            groups,
            explicit: Mutex::default(),
        }
    }

    /// Records one report.
    pub fn observe(&self, truth: &GroundTruth) {
        if let Some(event) = self.event(truth) {
            self.recorder.record(self.clock.now(), event);
        }
    }

    /// The event of a history that a report stands for, if any.
    #[must_use]
    pub fn event(&self, truth: &GroundTruth) -> Option<HistoryEvent> {
        let backend = truth.backend.clone();
        let group = self.groups.get(&backend)?.clone();
        match &truth.observation {
            Observation::TransactionBegun {
                transaction,
                explicit: true,
                ..
            } => {
                self.begin(backend, *transaction);
                None
            }
            Observation::StatementRan {
                connection,
                transaction: Some(transaction),
                sql,
                outcome: StatementOutcome::Succeeded { .. },
                ..
            } => Some(HistoryEvent::StatementRan {
                autocommit: !self.is_explicit(&backend, *transaction),
                group,
                backend,
                connection: connection.0,
                transaction: TransactionId(transaction.0),
                request: request_in(sql),
            }),
            Observation::TransactionCommitted {
                transaction,
                wrote: true,
                freshness,
                ..
            } => Some(HistoryEvent::Committed {
                group,
                backend,
                transaction: TransactionId(transaction.0),
                term: freshness.term,
                position: freshness.position,
            }),
            Observation::TransactionRolledBack { transaction, .. } => {
                Some(HistoryEvent::RolledBack {
                    backend,
                    transaction: TransactionId(transaction.0),
                })
            }
            Observation::ElectionWon {
                term, continues, ..
            } => Some(HistoryEvent::Elected {
                group,
                term: *term,
                backend,
                log_start: continues.position,
                continues: Some(continues.term),
            }),
            _ => None,
        }
    }

    fn begin(&self, backend: BackendId, transaction: TransactionNumber) {
        self.explicit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert((backend, transaction));
    }

    fn is_explicit(&self, backend: &BackendId, transaction: TransactionNumber) -> bool {
        self.explicit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&(backend.clone(), transaction))
    }
}

/// The request's number in a statement's comment.
#[must_use]
pub fn request_in(sql: &str) -> Option<RequestId> {
    let (_, after) = sql.split_once(REQUEST_KEY)?;
    let (digits, _) = after.split_once('\'')?;
    digits.parse().ok().map(RequestId)
}
