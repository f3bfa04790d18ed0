//! One caller's session at an edge.

use std::time::Duration;

use stairward_checker::RequestId;
use stairward_session::{SessionFloor, SessionToken};
use stairward_types::{Freshness, GroupId, NodeId, ResultCode, Time};

use super::floor::Floor;
use crate::simulate::message::{
    Batch, CallerConnection, CallerMessage, CallerStatement, EdgeMessage, OwnerMessage,
    PeerMessage, ProxyMessage, StatementKind, StreamKey,
};
use crate::simulate::outbox::Outbox;
use crate::simulate::proxy::ProxyState;

/// How long the baseline policy sends a session's reads to the primary after a write.
const BASELINE_PRIMARY_TIME: Duration = Duration::from_secs(2);

/// A transaction that a session has open on a stream.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    /// The stream.
    pub stream: StreamKey,
    /// The owner's node.
    pub owner: NodeId,
    /// Batches sent so far.
    pub sequence: u32,
    /// The statement under way, and whether it may commit.
    pub running: Option<(RequestId, bool)>,
}

/// A session.
#[derive(Debug)]
pub(super) struct EdgeSession {
    pub(super) group: GroupId,
    pub(super) floor: Floor,
    pub(super) transaction: Option<OpenTransaction>,
    /// Statements under way, in or outside a transaction.
    pub(super) busy: bool,
    /// Until when the baseline policy sends reads to the primary.
    pub(super) primary_until: Time,
}

impl EdgeSession {
    /// Whether nothing is under way, so that the session may be ended.
    pub(super) const fn is_idle(&self) -> bool {
        !self.busy && self.transaction.is_none()
    }

    /// The floor, as far as it is known.
    pub(super) const fn known_floor(&self) -> Option<Freshness> {
        self.floor.floor.get()
    }

    /// Raises the floor to what was read or committed.
    pub(super) fn raise_floor(&mut self, seen: Freshness) {
        self.floor.floor.raise(seen);
    }
}

impl ProxyState {
    /// A caller's message arrives.
    pub(in crate::simulate) fn caller_message(
        &mut self,
        connection: CallerConnection,
        group: &GroupId,
        message: CallerMessage,
        out: &mut Outbox<'_>,
    ) {
        match message {
            CallerMessage::Connect { token } => {
                self.connect(connection, group, token.as_deref(), out);
            }
            CallerMessage::Run(statement) => self.run_statement(connection, *statement, out),
            CallerMessage::Disconnect => self.disconnect(connection, out),
        }
    }

    fn connect(
        &mut self,
        connection: CallerConnection,
        group: &GroupId,
        token: Option<&str>,
        out: &mut Outbox<'_>,
    ) {
        if self.is_stopping() {
            out.caller(connection, None, ProxyMessage::Stopping);
            return;
        }
        let token: Option<SessionToken> =
            token.and_then(|text| self.edge.token_key.verify(text, group).ok());
        let floor = token.map_or_else(Floor::default, |token| Floor {
            floor: SessionFloor::starting_at(token.floor),
            is_known: true,
            learning: None,
        });
        let session = EdgeSession {
            group: group.clone(),
            floor,
            transaction: None,
            busy: false,
            primary_until: Time::ZERO,
        };
        self.edge.sessions.insert(connection, session);
    }

    fn disconnect(&mut self, connection: CallerConnection, out: &mut Outbox<'_>) {
        if let Some(session) = self.edge.sessions.remove(&connection)
            && let Some(transaction) = session.transaction
        {
            self.abandon_stream(transaction.stream, transaction.owner, out);
        }
    }

    /// Lets go of a stream.
    pub(super) fn abandon_stream(
        &mut self,
        stream: StreamKey,
        owner: NodeId,
        out: &mut Outbox<'_>,
    ) {
        self.edge.streams.remove(&stream);
        out.peer(owner, PeerMessage::ToOwner(stream, EdgeMessage::Abandon));
    }

    /// Runs a caller's statement: on the stream of its transaction, or as a new request.
    pub(in crate::simulate) fn run_statement(
        &mut self,
        connection: CallerConnection,
        statement: CallerStatement,
        out: &mut Outbox<'_>,
    ) {
        let request = Some(statement.request);
        if !self.control.is_ready() {
            let refusal = ProxyMessage::Failed(ResultCode::NotReady);
            return out.caller(connection, request, refusal);
        }
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return out.caller(connection, request, ProxyMessage::Stopping);
        };
        session.busy = true;
        if statement.kind != StatementKind::Read {
            session.primary_until = out.now + BASELINE_PRIMARY_TIME;
        }
        match statement.kind {
            StatementKind::Middle | StatementKind::Commit => {
                self.run_in_transaction(connection, statement, out);
            }
            StatementKind::Read if !session.floor.is_known => {
                self.learn_floor(connection, statement, out);
            }
            _ => self.start_request(connection, statement, out),
        }
    }

    fn run_in_transaction(
        &mut self,
        connection: CallerConnection,
        statement: CallerStatement,
        out: &mut Outbox<'_>,
    ) {
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return;
        };
        let Some(transaction) = &mut session.transaction else {
            return self.fail(
                connection,
                statement.request,
                ResultCode::TransactionLost,
                out,
            );
        };
        transaction.sequence += 1;
        let commits = statement.kind == StatementKind::Commit;
        transaction.running = Some((statement.request, commits));
        let batch = Batch {
            sequence: transaction.sequence,
            statements: vec![statement.statement],
            may_commit: commits,
        };
        let message = PeerMessage::ToOwner(transaction.stream, EdgeMessage::Batch(batch));
        out.peer(transaction.owner, message);
    }

    /// Answers a caller in the back end's place.
    pub(super) fn fail(
        &mut self,
        connection: CallerConnection,
        request: RequestId,
        code: ResultCode,
        out: &mut Outbox<'_>,
    ) {
        if let Some(session) = self.edge.sessions.get_mut(&connection) {
            session.busy = false;
        }
        let code = self.broken_code(code);
        out.caller(connection, Some(request), ProxyMessage::Failed(code));
        self.close_if_stopping(connection, out);
    }

    /// A message arrives for the open transaction of a session.
    pub(super) fn transaction_message(
        &mut self,
        connection: CallerConnection,
        message: OwnerMessage,
        out: &mut Outbox<'_>,
    ) {
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return;
        };
        let Some(transaction) = &mut session.transaction else {
            return;
        };
        let (stream, running) = (transaction.stream, transaction.running);
        match message {
            OwnerMessage::BatchDone {
                sequence,
                result,
                observation,
            } if sequence == transaction.sequence => {
                let Some((request, _)) = transaction.running.take() else {
                    return;
                };
                if result.status == stairward_standins::group::TransactionStatus::Idle {
                    session.transaction = None;
                    self.edge.streams.remove(&stream);
                }
                self.answer(connection, request, result, observation, out);
            }
            OwnerMessage::BatchDone { .. } | OwnerMessage::Admitted(_) => {}
            OwnerMessage::Refused { code, .. } | OwnerMessage::OutcomeUnknown { code, .. } => {
                self.end_transaction(connection, stream, running, code, out);
            }
            OwnerMessage::TransactionLost => {
                let code = ResultCode::TransactionLost;
                self.end_transaction(connection, stream, running, code, out);
            }
        }
    }

    /// The stream of a session's transaction is lost.
    pub(super) fn transaction_stream_lost(
        &mut self,
        connection: CallerConnection,
        out: &mut Outbox<'_>,
    ) {
        let Some(session) = self.edge.sessions.get_mut(&connection) else {
            return;
        };
        let Some(transaction) = &session.transaction else {
            return;
        };
        let (stream, running) = (transaction.stream, transaction.running);
        let commits = running.is_some_and(|(_, commits)| commits);
        let code = if commits {
            ResultCode::OwnerLostAfterSend
        } else {
            ResultCode::TransactionLost
        };
        self.end_transaction(connection, stream, running, code, out);
    }

    fn end_transaction(
        &mut self,
        connection: CallerConnection,
        stream: StreamKey,
        running: Option<(RequestId, bool)>,
        code: ResultCode,
        out: &mut Outbox<'_>,
    ) {
        if let Some(session) = self.edge.sessions.get_mut(&connection) {
            session.transaction = None;
        }
        self.edge.streams.remove(&stream);
        if let Some((request, _)) = running {
            self.fail(connection, request, code, out);
        }
    }
}
