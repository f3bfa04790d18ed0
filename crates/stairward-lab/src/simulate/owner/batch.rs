//! The batches of a stream at its owner: how they run and how they end.

use std::sync::Arc;

use stairward_pool::fence::{CommitId, FenceEvent};
use stairward_pool::pool::{PoolEvent, RequestId, ReturnedState};
use stairward_standins::group::TransactionStatus;
use stairward_standins::sql::{Answer, SqlError};
use stairward_types::{AccessClass, ResultCode, Term};

use super::claim::Claim;
use super::commit::WaitingReply;
use super::stream::Phase;
use crate::simulate::database::{BatchNumber, DatabaseRequest};
use crate::simulate::message::{BatchResult, OwnerMessage};
use crate::simulate::outbox::Outbox;

impl Claim {
    /// A slot is free for a stream's next batch.
    pub(super) fn run_pending(&mut self, request: RequestId, out: &mut Outbox<'_>) {
        let term = self
            .pool
            .state()
            .map_or(Term::default(), |state| state.freshness.term);
        let number = self.number_batch();
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        let (Some(batch), Some(connection)) = (stream.pending.pop_front(), stream.connection)
        else {
            return;
        };
        stream.phase = Phase::Running {
            batch: number,
            sequence: batch.sequence,
            may_commit: batch.may_commit,
            term,
        };
        let run = DatabaseRequest::Run {
            batch: number,
            statements: batch.statements,
        };
        out.database(&self.backend, connection, run);
    }

    /// A batch of a stream has ended at the database.
    pub(super) fn batch_ended(
        &mut self,
        request: RequestId,
        batch: BatchNumber,
        answers: Vec<Answer>,
        error: Option<SqlError>,
        status: TransactionStatus,
        out: &mut Outbox<'_>,
    ) {
        let Some(stream) = self.streams.get(&request) else {
            return;
        };
        match stream.phase {
            Phase::RollingBack(running) if running == batch => {
                self.finish_stream(request, ReturnedState::Idle, out);
            }
            Phase::Running {
                batch: running,
                sequence,
                may_commit,
                term,
            } if running == batch => {
                let committed = may_commit
                    && stream.access == AccessClass::Write
                    && error.is_none()
                    && status == TransactionStatus::Idle;
                let result = BatchResult {
                    answers: Arc::new(answers),
                    error,
                    status,
                };
                match status {
                    TransactionStatus::Idle if committed => {
                        self.commit_ended(request, sequence, result, term, out);
                    }
                    TransactionStatus::Idle => self.idle_ended(request, sequence, result, out),
                    _ => self.block_goes_on(request, sequence, result, out),
                }
            }
            _ => {}
        }
    }

    fn commit_ended(
        &mut self,
        request: RequestId,
        sequence: u32,
        result: BatchResult,
        term: Term,
        out: &mut Outbox<'_>,
    ) {
        let Some(key) = self.streams.get(&request).map(|stream| stream.key) else {
            return;
        };
        self.next_commit += 1;
        let commit = CommitId(self.next_commit);
        let waiting = WaitingReply {
            key,
            sequence,
            result,
        };
        self.commits.insert(commit, waiting);
        self.finish_stream(request, ReturnedState::Idle, out);
        let event = FenceEvent::Committed {
            commit,
            term,
            deadline: out.now + self.settings.fence_timeout,
        };
        self.feed_fence(event, out);
    }

    fn idle_ended(
        &mut self,
        request: RequestId,
        sequence: u32,
        result: BatchResult,
        out: &mut Outbox<'_>,
    ) {
        // Refused as a whole: it has become a replica since it was last asked.
        let read_only = matches!(result.error, Some(SqlError::ReadOnly { .. }));
        let message = if read_only {
            OwnerMessage::Refused {
                code: ResultCode::PrimaryReplaced,
                retry_after: None,
                observation: None,
            }
        } else {
            OwnerMessage::BatchDone {
                sequence,
                result,
                observation: self.observed(),
            }
        };
        self.tell_edge(request, message, out);
        self.finish_stream(request, ReturnedState::Idle, out);
    }

    fn block_goes_on(
        &mut self,
        request: RequestId,
        sequence: u32,
        result: BatchResult,
        out: &mut Outbox<'_>,
    ) {
        let observed = self.observed();
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        stream.phase = Phase::Between;
        let is_ending = stream.is_ending;
        let message = if is_ending {
            OwnerMessage::TransactionLost
        } else {
            OwnerMessage::BatchDone {
                sequence,
                result,
                observation: observed,
            }
        };
        self.tell_edge(request, message, out);
        if is_ending {
            self.roll_back(request, out);
        } else {
            self.feed_pool(PoolEvent::SlotReleased(request), out);
        }
    }
}
