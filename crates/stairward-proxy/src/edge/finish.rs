//! What a session remembers once a batch has ended.

use stairward_protocol::stream::{OwnerMessage, WireTransactionStatus};
use stairward_routing::Observation;
use stairward_session::TransactionEnd;
use stairward_types::{AccessClass, BackendRole, ResultCode};

use super::active::{RunningBatch, observation};
use super::hint_changes;
use super::reply;
use super::session::{Session, Transaction};

impl Session {
    /// Takes the end of the batch under way in, and reports that the session is ready. Returns the
    /// back end's state, if the owner told it.
    pub(super) fn batch_done(&mut self, message: OwnerMessage) -> Option<Observation> {
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
        let running = self.end_running(status);
        if let Some(observed) = observed {
            self.floor.raise(observed.freshness);
        }
        // The log position of a commit lies past every earlier one, so it covers them all.
        self.floor_is_known |= committed_writes != 0 && observed.is_some();
        if let Some(running) = &running {
            self.count_answer(running, observed);
        }
        if let Some(code) =
            ResultCode::from_number(code).filter(|code| *code != ResultCode::Answered)
        {
            reply::notice(&mut self.client.output, code);
        }
        self.ready();
        observed
    }

    /// Ends the batch on the active stream, and the stream too unless a transaction stays open.
    fn end_running(&mut self, status: WireTransactionStatus) -> Option<Box<RunningBatch>> {
        let before = self.transaction;
        self.transaction = match status {
            WireTransactionStatus::Idle => Transaction::Idle,
            WireTransactionStatus::InTransaction => Transaction::Open,
            WireTransactionStatus::Failed => Transaction::Failed,
        };
        let running = self.active.as_mut()?.running.take()?;
        if let Some(active) = &mut self.active {
            active.confirm(&running, &mut self.prepared);
        }
        self.remember_changes(&running, before);
        if self.transaction == Transaction::Idle {
            self.active = None;
        }
        Some(running)
    }

    /// Remembers changes of settings, and makes or undoes those of a transaction that has ended.
    fn remember_changes(&mut self, running: &RunningBatch, before: Transaction) {
        let class = &running.batch.class;
        let is_idle = self.transaction == Transaction::Idle;
        let rolls_back = class.ends == Some(TransactionEnd::Rollback);
        let in_transaction = before != Transaction::Idle || !is_idle;
        let is_undone = running.filter.failed || (is_idle && rolls_back);
        if !is_undone {
            for change in &class.changes {
                if hint_changes::is_hint_change(change) {
                    // Checked before the batch was sent.
                    let _ = hint_changes::apply(change, &mut self.hints);
                } else if self.variables.apply(change, in_transaction).is_err() {
                    tracing::debug!(group = %self.group.id, "a session sets too much to be kept");
                }
            }
        }
        if !is_idle {
            return;
        }
        let committed = class.has_commit && !running.filter.failed && before != Transaction::Failed;
        if before == Transaction::Idle || committed {
            self.variables.commit();
        } else {
            self.variables.roll_back();
        }
        self.hints.end_transaction();
    }

    fn count_answer(&self, running: &RunningBatch, observed: Option<Observation>) {
        let class = &running.batch.class;
        let only_controls = class.controls_transaction() && class.statements <= 1;
        if only_controls || !running.batch.executes {
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
