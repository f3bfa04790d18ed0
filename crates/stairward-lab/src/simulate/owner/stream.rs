//! One statement stream at its owner.

use std::collections::VecDeque;
use std::time::Duration;

use stairward_pool::pool::{ConnectionRequest, PoolEvent, RequestId, ReturnedState};
use stairward_routing::Observation;
use stairward_standins::ConnectionNumber;
use stairward_standins::sql::Statement;
use stairward_types::{AccessClass, Freshness, ResultCode, Term, Time};

use super::claim::{Claim, ClaimRequest};
use super::observation;
use crate::simulate::database::{BatchNumber, DatabaseRequest};
use crate::simulate::message::{Batch, OpenStream, OwnerMessage, PeerMessage, StreamKey};
use crate::simulate::outbox::Outbox;
use crate::simulate::variant::BrokenVariant;

/// Weight of every service in fair sharing.
const WEIGHT: u32 = 1;

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
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
    pub(super) key: StreamKey,
    pub(super) access: AccessClass,
    deadline: Time,
    pub(super) phase: Phase,
    pub(super) pending: VecDeque<Batch>,
    /// The batch that came last; only the next in turn is taken.
    last_sequence: u32,
    pub(super) connection: Option<ConnectionNumber>,
    /// The edge has let go, or its time is over: it is rolled back at the next chance.
    pub(super) is_ending: bool,
    /// The edge wants to hear nothing more.
    is_abandoned: bool,
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
                self.feed_pool(PoolEvent::Cancelled(request), out);
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
    pub(super) fn roll_back(&mut self, request: RequestId, out: &mut Outbox<'_>) {
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

    pub(super) fn observed(&self) -> Observation {
        let state = self.pool.state();
        let freshness = state.map_or(Freshness::default(), |state| state.freshness);
        let is_primary =
            state.is_some_and(|state| state.role == stairward_types::BackendRole::Primary);
        observation(freshness, is_primary, self.pool.waiting())
    }

    pub(super) fn tell_edge(
        &self,
        request: RequestId,
        message: OwnerMessage,
        out: &mut Outbox<'_>,
    ) {
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

    pub(super) fn finish_stream(
        &mut self,
        request: RequestId,
        state: ReturnedState,
        out: &mut Outbox<'_>,
    ) {
        if let Some(number) = self.forget_stream(request) {
            self.give_back(request, number, state, out);
        }
    }
}
