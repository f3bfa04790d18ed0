//! Turns what stand-in back ends report into events of a history.

use std::collections::BTreeMap;

use stairward_checker::{HistoryEvent, Recorder, RequestId, TransactionId};
use stairward_standins::{
    GroundTruth, Observation, StatementOutcome, TransactionNumber,
};
use stairward_types::{BackendId, GroupId};

/// Transactions whose beginning is remembered, per recorder; older ones are forgotten first.
const MAXIMUM_OPEN_TRANSACTIONS: usize = 100_000;
/// Numbers of statements that ran in no transaction start here, apart from real transactions.
const FIRST_OWN_NUMBER: u64 = 1 << 63;

/// Records the ground truth of one group.
#[derive(Debug)]
pub struct TruthRecorder {
    group: GroupId,
    recorder: Recorder,
    /// Open transactions, and whether `BEGIN` opened them.
    open: BTreeMap<(BackendId, TransactionNumber), bool>,
    next_own_number: u64,
}

impl TruthRecorder {
    /// Records for a group.
    #[must_use]
    pub fn new(group: GroupId, recorder: Recorder) -> Self {
        Self {
            group,
            recorder,
            open: BTreeMap::new(),
            next_own_number: FIRST_OWN_NUMBER,
        }
    }

    /// Records one report.
    pub fn record(&mut self, truth: &GroundTruth) {
        self.follow_transactions(truth);
        if let Some(event) = self.history_event(truth) {
            self.recorder.record(truth.at, event);
        }
    }

    fn follow_transactions(&mut self, truth: &GroundTruth) {
        if let Observation::TransactionBegun {
            transaction,
            explicit,
            ..
        } = truth.observation
        {
            if self.open.len() >= MAXIMUM_OPEN_TRANSACTIONS {
                self.open.pop_first();
            }
            let key = (truth.backend.clone(), transaction);
            self.open.insert(key, explicit);
        }
    }

    fn history_event(&mut self, truth: &GroundTruth) -> Option<HistoryEvent> {
        let backend = truth.backend.clone();
        match &truth.observation {
            Observation::StatementRan {
                connection,
                transaction,
                sql,
                outcome: StatementOutcome::Succeeded { .. },
                ..
            } => {
                let request = request_in_comment(sql)?;
                let explicit = transaction.and_then(|number| {
                    self.open.get(&(backend.clone(), number)).copied()
                });
                Some(HistoryEvent::StatementRan {
                    group: self.group.clone(),
                    backend,
                    connection: connection.0,
                    transaction: self.transaction_id(*transaction),
                    autocommit: !explicit.unwrap_or(false),
                    request: Some(request),
                })
            }
            Observation::TransactionCommitted {
                transaction,
                wrote: true,
                freshness,
                ..
            } => Some(HistoryEvent::Committed {
                group: self.group.clone(),
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
            Observation::ElectionWon { term, begins } => Some(HistoryEvent::Elected {
                group: self.group.clone(),
                term: *term,
                backend,
                log_start: begins.position,
                continues: None,
            }),
            _ => None,
        }
    }

    fn transaction_id(&mut self, transaction: Option<TransactionNumber>) -> TransactionId {
        transaction.map_or_else(
            || {
                self.next_own_number += 1;
                TransactionId(self.next_own_number)
            },
            |number| TransactionId(number.0),
        )
    }
}

/// The request named in a statement's comment `/*request='7'*/`.
#[must_use]
pub fn request_in_comment(sql: &str) -> Option<RequestId> {
    let (_, rest) = sql.split_once("request='")?;
    let (digits, _) = rest.split_once('\'')?;
    digits.parse().ok().map(RequestId)
}
