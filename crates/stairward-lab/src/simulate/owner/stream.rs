//! One statement stream at its owner.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stairward_pool::fence::{CommitId, FenceEffect, FenceEvent, MemberAnswer, QuestionId};
use stairward_pool::pool::{ConnectionRequest, PoolEvent, RequestId, ReturnedState};
use stairward_routing::Observation;
use stairward_standins::ConnectionNumber;
use stairward_standins::group::TransactionStatus;
use stairward_standins::sql::{Answer, SqlError, Statement};
use stairward_types::{AccessClass, Freshness, ResultCode, Term, Time};

use super::claim::{Claim, ClaimRequest};
use super::observation;
use crate::simulate::database::{BatchNumber, DatabaseRequest};
use crate::simulate::message::{
    Batch, BatchResult, OpenStream, OwnerMessage, PeerMessage, StreamKey,
};
use crate::simulate::outbox::Outbox;
use crate::simulate::variant::BrokenVariant;

/// Weight of every service in fair sharing.
const WEIGHT: u32 = 1;

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It waits for a connection and a slot.
    Waiting,
    /// A batch runs.
    Running {
        /// At the database.
        batch: BatchNumber,
        /// At the edge.
        sequence: u32,
        /// Whether it may commit writes.
        may_commit: bool,
        /// The back end's term when last asked before the batch was sent.
        term: Term,
    },
    /// Its transaction is open and it waits for the next batch.
    Between,
    /// Its transaction is being rolled back; the edge has heard all it will.
    RollingBack(BatchNumber),
}

/// A stream.
#[derive(Debug)]
pub(super) struct OwnerStream {
    key: StreamKey,
    access: AccessClass,
    deadline: Time,
    phase: Phase,
    pending: VecDeque<Batch>,
    /// The batch that came last; only the next in turn is taken.
    last_sequence: u32,
    connection: Option<ConnectionNumber>,
    /// The edge has let go, or its time is over: it is rolled back at the next chance.
    is_ending: bool,
    /// The edge wants to hear nothing more.
    is_abandoned: bool,
}

/// An answer that waits for the proof of its commit.
#[derive(Debug)]
pub(super) struct WaitingReply {
    key: StreamKey,
    sequence: u32,
    result: BatchResult,
}

impl Claim {
    /// A stream opens.
    pub(super) fn open_stream(&mut self, key: StreamKey, open: OpenStream, out: &mut Outbox<'_>) {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let deadline = out.now + open.remaining;
        let stream = OwnerStream {
            key,
            access: open.access,
            deadline,
            phase: Phase::Waiting,
            last_sequence: open.batch.sequence,
            pending: VecDeque::from([open.batch]),
            connection: None,
            is_ending: false,
            is_abandoned: false,
        };
        self.streams.insert(request, stream);
        self.by_key.insert(key, request);
        let wanted = ConnectionRequest {
            request,
            service: self.settings.service.clone(),
            weight: WEIGHT,
            access: open.access,
            floor: open.floor,
            expected_term: open.expected_term,
            deadline,
            freshness_wait: open.freshness_wait,
        };
        self.feed_pool(PoolEvent::Requested(wanted), out);
    }

    /// A further batch of a stream's transaction.
    pub(super) fn next_batch(&mut self, key: StreamKey, batch: Batch, out: &mut Outbox<'_>) {
        let Some(&request) = self.by_key.get(&key) else {
            return;
        };
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        let is_in_turn = batch.sequence == stream.last_sequence + 1;
        if stream.phase == Phase::Between && !stream.is_ending && is_in_turn {
            stream.last_sequence = batch.sequence;
            stream.pending.push_back(batch);
            self.feed_pool(PoolEvent::SlotWanted(request), out);
        }
    }

    /// The edge lets go of a stream.
    pub(super) fn abandon(&mut self, key: StreamKey, out: &mut Outbox<'_>) {
        let Some(&request) = self.by_key.get(&key) else {
            return;
        };
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        stream.is_abandoned = true;
        stream.is_ending = true;
        match stream.phase {
            Phase::Waiting => {
                self.feed_pool(PoolEvent::Withdrawn(request), out);
                self.forget_stream(request);
            }
            Phase::Between => self.roll_back(request, out),
            Phase::Running { .. } | Phase::RollingBack(_) => {}
        }
    }

    /// The pool says that a stream's time is over.
    pub(super) fn end_stream(&mut self, request: RequestId, out: &mut Outbox<'_>) {
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        stream.is_ending = true;
        if stream.phase == Phase::Between {
            self.tell_edge(request, OwnerMessage::TransactionLost, out);
            self.roll_back(request, out);
        }
    }

    /// Rolls an open transaction back, so that its connection can be used again.
    fn roll_back(&mut self, request: RequestId, out: &mut Outbox<'_>) {
        if self.settings.broken == Some(BrokenVariant::PoolReset) {
            return self.finish_stream(request, ReturnedState::Idle, out);
        }
        let batch = self.number_batch();
        let Some(stream) = self.streams.get_mut(&request) else {
            return;
        };
        stream.phase = Phase::RollingBack(batch);
        stream.is_abandoned = true;
        if let Some(number) = stream.connection {
            let statements = Statement::parse("ROLLBACK").unwrap_or_default();
            let run = DatabaseRequest::Run { batch, statements };
            out.database(&self.backend, number, run);
        }
    }

    /// The pool has lent a connection.
    pub(super) fn start_stream(
        &mut self,
        request: RequestId,
        number: ConnectionNumber,
        out: &mut Outbox<'_>,
    ) {
        let Some(stream) = self.streams.get_mut(&request) else {
            return self.give_back(request, number, ReturnedState::Idle, out);
        };
        stream.connection = Some(number);
        let observed = self.observed();
        self.tell_edge(request, OwnerMessage::Admitted(observed), out);
        self.run_pending(request, out);
    }

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

    /// The pool refuses a stream.
    pub(super) fn refuse_stream(
        &mut self,
        request: RequestId,
        code: ResultCode,
        retry_after: Option<Duration>,
        out: &mut Outbox<'_>,
    ) {
        let observation = self.pool.state().map(|_| self.observed());
        let refusal = OwnerMessage::Refused {
            code,
            retry_after,
            observation,
        };
        self.tell_edge(request, refusal, out);
        self.forget_stream(request);
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

    /// The connection lent to a stream is lost.
    pub(super) fn stream_connection_lost(&mut self, request: RequestId, out: &mut Outbox<'_>) {
        let Some(stream) = self.streams.get(&request) else {
            return;
        };
        let message = self.loss_of(stream, ResultCode::BackendLostAfterSend);
        self.tell_edge(request, message, out);
        self.forget_stream(request);
    }

    /// What an edge is told when a stream ends without an answer of the back end.
    fn loss_of(&self, stream: &OwnerStream, code: ResultCode) -> OwnerMessage {
        let may_have_run = match stream.phase {
            Phase::Running { may_commit, .. } => may_commit || stream.access == AccessClass::Read,
            _ => false,
        };
        if may_have_run {
            OwnerMessage::OutcomeUnknown {
                code,
                observation: self.pool.state().map(|_| self.observed()),
            }
        } else {
            OwnerMessage::TransactionLost
        }
    }

    /// When the next stream that runs is overdue.
    pub(super) fn next_stream_deadline(&self) -> Option<Time> {
        let running = self
            .streams
            .values()
            .filter(|stream| matches!(stream.phase, Phase::Running { .. }));
        running.map(|stream| stream.deadline).min()
    }

    /// Ends streams whose batch runs past the deadline.
    pub(super) fn end_overdue_streams(&mut self, out: &mut Outbox<'_>) {
        let overdue: Vec<RequestId> = self
            .streams
            .iter()
            .filter(|(_, stream)| {
                matches!(stream.phase, Phase::Running { .. }) && stream.deadline <= out.now
            })
            .map(|(request, _)| *request)
            .collect();
        for request in overdue {
            if let Some(stream) = self.streams.get(&request) {
                let message = self.loss_of(stream, ResultCode::DeadlineAfterSend);
                self.tell_edge(request, message, out);
                self.finish_stream(request, ReturnedState::InDoubt, out);
            }
        }
    }

    fn observed(&self) -> Observation {
        let state = self.pool.state();
        let freshness = state.map_or(Freshness::default(), |state| state.freshness);
        let is_primary =
            state.is_some_and(|state| state.role == stairward_types::BackendRole::Primary);
        observation(freshness, is_primary, self.pool.waiting())
    }

    fn tell_edge(&self, request: RequestId, message: OwnerMessage, out: &mut Outbox<'_>) {
        if let Some(stream) = self.streams.get(&request)
            && !stream.is_abandoned
        {
            let message = PeerMessage::ToEdge(stream.key, message);
            out.peer(stream.key.edge, message);
        }
    }

    fn forget_stream(&mut self, request: RequestId) -> Option<ConnectionNumber> {
        let stream = self.streams.remove(&request)?;
        self.by_key.remove(&stream.key);
        self.requests.push(ClaimRequest::StreamEnded(stream.key));
        stream.connection
    }

    fn finish_stream(&mut self, request: RequestId, state: ReturnedState, out: &mut Outbox<'_>) {
        if let Some(number) = self.forget_stream(request) {
            self.give_back(request, number, state, out);
        }
    }

    /// Tells the fence what happened and carries its decisions out.
    pub(super) fn feed_fence(&mut self, event: FenceEvent, out: &mut Outbox<'_>) {
        for effect in self.fence.handle(out.now, event) {
            self.fence_effect(effect, out);
        }
    }

    fn fence_effect(&mut self, effect: FenceEffect, out: &mut Outbox<'_>) {
        match effect {
            FenceEffect::Ask { question, member } => {
                self.requests
                    .push(ClaimRequest::AskMember(question, member));
            }
            FenceEffect::Proved { commit, freshness } => {
                if let Some(waiting) = self.commits.remove(&commit) {
                    let message = OwnerMessage::BatchDone {
                        sequence: waiting.sequence,
                        result: waiting.result,
                        observation: observation(freshness, true, self.pool.waiting()),
                    };
                    let edge = waiting.key.edge;
                    out.peer(edge, PeerMessage::ToEdge(waiting.key, message));
                }
            }
            FenceEffect::NotProved(commit) => {
                if let Some(waiting) = self.commits.remove(&commit) {
                    let message = OwnerMessage::OutcomeUnknown {
                        code: ResultCode::FenceNotProved,
                        observation: None,
                    };
                    let edge = waiting.key.edge;
                    out.peer(edge, PeerMessage::ToEdge(waiting.key, message));
                }
            }
        }
    }

    /// A member has answered, or not, a question of the fence.
    pub(super) fn fence_answered(
        &mut self,
        question: QuestionId,
        answer: Option<(Freshness, bool)>,
        out: &mut Outbox<'_>,
    ) {
        let event = match answer {
            Some((freshness, is_primary)) => FenceEvent::Answered {
                question,
                answer: MemberAnswer {
                    freshness,
                    is_primary,
                },
            },
            None => FenceEvent::Unanswered(question),
        };
        self.feed_fence(event, out);
    }
}
