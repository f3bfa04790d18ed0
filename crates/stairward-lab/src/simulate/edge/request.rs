//! A request that the routing machine decides on: a statement alone, or the first of a transaction.

use stairward_checker::{HistoryEvent, RequestId};
use stairward_routing::{
    Attempt, Effect, Event, Observation, Outcome, RequestMachine, RequestSpec,
};
use stairward_session::SessionToken;
use stairward_standins::group::TransactionStatus;
use stairward_types::{
    AccessClass, BackendRole, Freshness, GroupId, NodeId, OutcomeClass, ResultCode, Time,
};

use super::deadline;
use super::session::OpenTransaction;
use crate::simulate::message::{
    Batch, BatchResult, CallerConnection, CallerStatement, EdgeMessage, OpenStream, OwnerMessage,
    PeerMessage, ProxyMessage, StatementKind, StreamKey,
};
use crate::simulate::outbox::{Outbox, ProxyTimer};
use crate::simulate::policy::Policy;
use crate::simulate::proxy::ProxyState;
use crate::simulate::variant::BrokenVariant;

/// Size of a simulated request, for the hold queue.
const REQUEST_BYTES: usize = 200;
/// A request.
#[derive(Debug)]
pub(super) struct EdgeRequest {
    pub(super) connection: CallerConnection,
    pub(super) group: GroupId,
    statement: CallerStatement,
    machine: RequestMachine,
    stream: Option<(StreamKey, NodeId)>,
    /// The answer to pass on when the machine says so.
    done: Option<(BatchResult, Observation)>,
}

impl ProxyState {
    /// Starts a request on a new stream.
    pub(super) fn start_request(
        &mut self,
        connection: CallerConnection,
        statement: CallerStatement,
        out: &mut Outbox<'_>,
    ) {
        let Some(session) = self.edge.sessions.get(&connection) else {
            return;
        };
        let group = session.group.clone();
        let settings = std::sync::Arc::clone(&self.control.settings);
        let Some(group_settings) = settings.groups.get(&group) else {
            let code = ResultCode::UnknownDatabase;
            return self.fail(connection, statement.request, code, out);
        };
        let is_read = statement.kind == StatementKind::Read;
        let spec = RequestSpec {
            access: if is_read {
                AccessClass::Read
            } else {
                AccessClass::Write
            },
            repeatable: is_read
                || statement.repeatable
                || self.broken == Some(BrokenVariant::Retry),
            may_commit: statement.kind == StatementKind::Write,
            floor: self.floor_for(connection),
            primary_only: self.reads_from_primary(connection, is_read, out.now),
            deadline: deadline(group_settings, out.now),
            bytes: REQUEST_BYTES,
        };
        self.edge.next_request += 1;
        let number = self.edge.next_request;
        let request = EdgeRequest {
            connection,
            group,
            statement,
            machine: RequestMachine::new(spec),
            stream: None,
            done: None,
        };
        self.edge.requests.insert(number, request);
        self.feed_request(number, Event::Start, out);
    }

    fn floor_for(&self, connection: CallerConnection) -> Option<Freshness> {
        if self.broken == Some(BrokenVariant::Floor) || self.policy == Policy::Baseline {
            return None;
        }
        self.edge.sessions.get(&connection)?.known_floor()
    }

    fn reads_from_primary(&self, connection: CallerConnection, is_read: bool, now: Time) -> bool {
        let Some(session) = self.edge.sessions.get(&connection) else {
            return true;
        };
        if self.policy == Policy::Baseline {
            return session.primary_until > now;
        }
        if self.broken == Some(BrokenVariant::Floor) {
            return !is_read;
        }
        !is_read || !session.floor.is_known
    }

    /// Tells a request's machine what happened and carries its decisions out.
    pub(in crate::simulate) fn feed_request(
        &mut self,
        number: u64,
        event: Event,
        out: &mut Outbox<'_>,
    ) {
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let Some(request) = self.edge.requests.get_mut(&number) else {
                return;
            };
            let Some(group) = self.edge.groups.get_mut(&request.group) else {
                return;
            };
            let random = out.random.number();
            let machine = &mut request.machine;
            let effects = machine.handle(out.now, event, &mut group.routing, random);
            for effect in effects {
                next = self.request_effect(number, effect, out).or(next);
            }
        }
    }

    fn request_effect(
        &mut self,
        number: u64,
        effect: Effect,
        out: &mut Outbox<'_>,
    ) -> Option<Event> {
        match effect {
            Effect::Send(attempt) => return self.send_attempt(number, &attempt, out),
            Effect::WakeAt(at) => out.wake(at, ProxyTimer::Request(number)),
            Effect::FindPrimary => {
                let group = self.edge.requests.get(&number)?.group.clone();
                self.search_primary(&group, out);
            }
            Effect::Cancel => {}
            Effect::Abandon => self.drop_stream(number, out),
            Effect::Finish(outcome) => self.finish_request(number, outcome, out),
        }
        None
    }

    fn drop_stream(&mut self, number: u64, out: &mut Outbox<'_>) {
        let request = self.edge.requests.get_mut(&number);
        if let Some((stream, owner)) = request.and_then(|request| request.stream.take()) {
            self.abandon_stream(stream, owner, out);
        }
    }

    fn send_attempt(
        &mut self,
        number: u64,
        attempt: &Attempt,
        out: &mut Outbox<'_>,
    ) -> Option<Event> {
        self.drop_stream(number, out);
        let ranking = self.control.ranking(&attempt.backend);
        let owner = ranking.and_then(|ranking| {
            if attempt.use_standby {
                ranking.standby
            } else {
                Some(ranking.owner)
            }
        });
        let Some(owner) = owner else {
            return Some(Event::StreamLost {
                request_sent: false,
            });
        };
        self.edge.next_stream += 1;
        let stream = StreamKey {
            edge: self.identity.node,
            life: self.life,
            number: self.edge.next_stream,
        };
        let request = self.edge.requests.get_mut(&number)?;
        request.stream = Some((stream, owner));
        let spec = request.machine.spec();
        let open = OpenStream {
            backend: attempt.backend.clone(),
            access: spec.access,
            floor: spec.floor,
            expected_term: attempt.expected_term,
            remaining: attempt.remaining,
            freshness_wait: attempt.freshness_wait,
            batch: Batch {
                sequence: 1,
                statements: vec![request.statement.statement.clone()],
                may_commit: spec.may_commit,
            },
        };
        let id = request.statement.request;
        self.edge
            .streams
            .insert(stream, (request.connection, owner));
        out.record(HistoryEvent::RequestForwarded { request: id, owner });
        out.log(|| format!("request {id} to {} by proxy {owner}", attempt.backend));
        let message = EdgeMessage::Open(Box::new(open));
        out.peer(owner, PeerMessage::ToOwner(stream, message));
        None
    }

    /// A message arrives on a stream.
    pub(in crate::simulate) fn owner_message(
        &mut self,
        from: NodeId,
        stream: StreamKey,
        message: OwnerMessage,
        out: &mut Outbox<'_>,
    ) {
        let stream = self.stream_answered(from, stream, &message);
        let Some(&(connection, _)) = self.edge.streams.get(&stream) else {
            return;
        };
        match self.request_on(stream) {
            Some(number) => self.request_message(number, message, out),
            None => self.transaction_message(connection, message, out),
        }
    }

    /// The stream a message belongs to. The broken variant takes the oldest to the same owner.
    fn stream_answered(
        &self,
        from: NodeId,
        stream: StreamKey,
        message: &OwnerMessage,
    ) -> StreamKey {
        let is_mixed_up = self.broken == Some(BrokenVariant::Multiplex)
            && matches!(message, OwnerMessage::BatchDone { .. });
        if !is_mixed_up {
            return stream;
        }
        let oldest = self
            .edge
            .streams
            .iter()
            .find(|(_, (_, owner))| *owner == from);
        oldest.map_or(stream, |(oldest, _)| *oldest)
    }

    fn request_on(&self, stream: StreamKey) -> Option<u64> {
        let found = self
            .edge
            .requests
            .iter()
            .find(|(_, request)| request.stream.is_some_and(|(used, _)| used == stream));
        found.map(|(number, _)| *number)
    }

    fn request_message(&mut self, number: u64, message: OwnerMessage, out: &mut Outbox<'_>) {
        let event = match message {
            OwnerMessage::Admitted(observation) => Event::Admitted(Some(observation)),
            OwnerMessage::Refused {
                code,
                retry_after,
                observation,
            } => Event::Refused {
                code,
                retry_after,
                observation,
            },
            OwnerMessage::BatchDone {
                result,
                observation,
                ..
            } => {
                if let Some(request) = self.edge.requests.get_mut(&number) {
                    request.done = Some((result, observation));
                }
                Event::Done(Some(observation))
            }
            OwnerMessage::OutcomeUnknown { code, observation } => {
                Event::OutcomeUnknown { code, observation }
            }
            OwnerMessage::TransactionLost => Event::TransactionLost,
        };
        self.feed_request(number, event, out);
    }

    /// The connection that a stream ran on is lost.
    pub(super) fn stream_lost(&mut self, stream: StreamKey, out: &mut Outbox<'_>) {
        let Some(&(connection, _)) = self.edge.streams.get(&stream) else {
            return;
        };
        match self.request_on(stream) {
            Some(number) => {
                if let Some(request) = self.edge.requests.get_mut(&number) {
                    request.stream = None;
                }
                self.edge.streams.remove(&stream);
                self.feed_request(number, Event::StreamLost { request_sent: true }, out);
            }
            None => self.transaction_stream_lost(connection, out),
        }
    }

    fn finish_request(&mut self, number: u64, outcome: Outcome, out: &mut Outbox<'_>) {
        let Some(request) = self.edge.requests.remove(&number) else {
            return;
        };
        let connection = request.connection;
        let id = request.statement.request;
        let stream = request.stream;
        match (outcome, request.done) {
            (Outcome::Answered, Some((result, observation))) => {
                let is_open = result.status != TransactionStatus::Idle;
                match stream {
                    Some((stream, owner)) if is_open => {
                        self.keep_transaction(connection, stream, owner, out);
                    }
                    Some((stream, _)) => {
                        self.edge.streams.remove(&stream);
                    }
                    None => {}
                }
                self.answer(connection, id, result, observation, out);
            }
            (Outcome::Answered, None) => {}
            (Outcome::Failed(failure), _) => {
                if let Some((stream, owner)) = stream {
                    self.abandon_stream(stream, owner, out);
                }
                self.fail(connection, id, failure.code, out);
            }
        }
    }

    fn keep_transaction(
        &mut self,
        connection: CallerConnection,
        stream: StreamKey,
        owner: NodeId,
        out: &mut Outbox<'_>,
    ) {
        match self.edge.sessions.get_mut(&connection) {
            Some(session) => {
                session.transaction = Some(OpenTransaction {
                    stream,
                    owner,
                    sequence: 1,
                    running: None,
                });
            }
            None => self.abandon_stream(stream, owner, out),
        }
    }

    /// Passes a back end's answer on and raises the session's floor.
    pub(super) fn answer(
        &mut self,
        connection: CallerConnection,
        request: RequestId,
        result: BatchResult,
        observation: Observation,
        out: &mut Outbox<'_>,
    ) {
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return;
        };
        session.busy = false;
        session.raise_floor(observation.freshness);
        let by_replica = observation.role == BackendRole::Replica;
        let floor = session.known_floor().filter(|_| session.floor.is_known);
        let token = floor.map(|floor| {
            let token = SessionToken {
                group: session.group.clone(),
                floor,
            };
            self.edge.token_key.sign(&token)
        });
        let message = ProxyMessage::Answer {
            result,
            token,
            by_replica,
            term: observation.freshness.term,
        };
        out.caller(connection, Some(request), message);
        self.close_if_stopping(connection, out);
    }

    /// The code told to the caller. The broken variant calls what may have run "not run".
    pub(super) fn broken_code(&self, code: ResultCode) -> ResultCode {
        let is_unknown = code.class() == OutcomeClass::OutcomeUnknown;
        if is_unknown && self.broken == Some(BrokenVariant::NotRun) {
            ResultCode::BackendUnavailable
        } else {
            code
        }
    }
}
