//! Updates a session's state when a batch has completed.

use stairward_protocol::stream::{OwnerMessage, WireTransactionStatus};
use stairward_routing::Observation;
use stairward_session::TransactionEnd;
use stairward_types::{AccessClass, BackendRole, ResultCode};

use super::active::{RunningBatch, observation};
use super::hint_changes;
use super::reply;
use super::session::{Session, Transaction};

impl Session {
    /// Completes the running batch and sends `ReadyForQuery`. Returns the backend's state if the
    /// owner reported it.
    pub(super) fn complete_batch(&mut self, message: OwnerMessage) -> Option<Observation> {
        let OwnerMessage::BatchDone {
            status,
            committed_writes,
            code,
            hint,
            ..
        } = message
        else {
            return None;
        };
        let observed = observation(hint);
        let running = self.finish_running(status);
        if let Some(observed) = observed {
            self.floor.raise(observed.freshness);
        }
        // The log position of a commit is later than that of every earlier write, so it covers them
        // all.
        self.floor_is_known |= committed_writes != 0 && observed.is_some();
        if let Some(running) = &running {
            self.count_completed(running, observed);
        }
        if let Some(code) =
            ResultCode::from_number(code).filter(|code| *code != ResultCode::Answered)
        {
            reply::notice_response(&mut self.client.output, code);
        }
        self.send_ready();
        observed
    }

    /// Completes the batch on the active stream, and closes the stream unless a transaction remains
    /// open.
    fn finish_running(&mut self, status: WireTransactionStatus) -> Option<Box<RunningBatch>> {
        let previous = self.transaction;
        self.transaction = match status {
            WireTransactionStatus::Idle => Transaction::Idle,
            WireTransactionStatus::InTransaction => Transaction::Open,
            WireTransactionStatus::Failed => Transaction::Failed,
        };
        let running = self.active.as_mut()?.running.take()?;
        if let Some(active) = &mut self.active {
            active.apply_confirmed(&running, &mut self.prepared);
        }
        self.apply_session_changes(&running, previous);
        if self.transaction == Transaction::Idle {
            self.active = None;
        }
        Some(running)
    }

    /// Applies changes of session parameters. When a transaction has ended, commits or rolls back
    /// the changes made in it.
    fn apply_session_changes(&mut self, running: &RunningBatch, previous: Transaction) {
        let class = &running.batch.class;
        let is_idle = self.transaction == Transaction::Idle;
        let requests_rollback = class.ends == Some(TransactionEnd::Rollback);
        let was_in_transaction = previous != Transaction::Idle || !is_idle;
        let is_rolled_back = running.filter.failed || (is_idle && requests_rollback);
        if !is_rolled_back {
            for change in &class.changes {
                if hint_changes::is_hint_change(change) {
                    // Can't fail: the batch was validated before it was sent.
                    let _ = hint_changes::apply(change, &mut self.hints);
                } else if self.variables.apply(change, was_in_transaction).is_err() {
                    tracing::debug!(group = %self.group.id, "session parameter not kept: session settings too large");
                }
            }
        }
        if !is_idle {
            return;
        }
        let committed =
            class.has_commit && !running.filter.failed && previous != Transaction::Failed;
        if previous == Transaction::Idle || committed {
            self.variables.commit();
        } else {
            self.variables.roll_back();
        }
        self.hints.end_transaction();
    }

    fn count_completed(&self, running: &RunningBatch, observed: Option<Observation>) {
        let class = &running.batch.class;
        let only_transaction_control = class.controls_transaction() && class.statements <= 1;
        if only_transaction_control || !running.batch.executes {
            return;
        }
        let counters = &self.service.counters;
        if class.access == AccessClass::Write {
            counters.writes.add(1);
            return;
        }
        counters.reads.add(1);
        let by_replica = observed.is_some_and(|observed| observed.role == BackendRole::Replica);
        if by_replica {
            counters.replica_reads.add(1);
        }
    }
}
