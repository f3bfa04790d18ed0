//! Handling of replies from back ends.

use std::time::Duration;

use stairward_types::{BackendId, Freshness, ResultCode, Time};

use crate::connection::{SentStep, Step, User};
use crate::engine::Engine;
use crate::event::{BackendCommand, BackendEvidence, Decision};
use crate::identifiers::{ConnectionId, SessionId};
use crate::proofs::Proof;
use crate::reply::TransactionStatus;
use crate::reply::{BackendError, BackendErrorCode, BackendReply, Response, ResponseResult};
use crate::session::{OpenTransaction, Request, RequestKind, Stage, Transaction, WaitReason};

/// Retry delay for callers refused by overloaded back ends.
const RETRY_BUSY: Duration = Duration::from_millis(200);

impl Engine {
    /// Processes a reply that may be trusted.
    pub(crate) fn process_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent: SentStep,
        reply: BackendReply,
    ) {
        match sent.step {
            Step::Reset | Step::SetValue { .. } | Step::Prepare(_) => {
                self.handle_setup_reply(now, id, sent, &reply);
            }
            Step::Begin { read_only, .. } => {
                self.handle_begin_reply(now, id, read_only, sent.at, reply)
            }
            Step::Rollback => self.handle_rollback_reply(now, id, &reply),
            Step::Status => self.handle_status_reply(now, id, sent.at, &reply),
            Step::Statement => self.handle_statement_reply(now, id, sent.at, reply),
            Step::ConfirmationBegin | Step::ConfirmationEnd => {}
        }
    }

    fn handle_setup_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent: SentStep,
        reply: &BackendReply,
    ) {
        if reply.result.is_err() {
            return self.drop_connection(now, id);
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.apply_setup(sent.step);
        if connection.sent.is_empty() {
            self.connection_ready(now, id);
        }
    }

    fn handle_begin_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        read_only: bool,
        sent_at: Time,
        reply: BackendReply,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match reply.result {
            Ok(_) => {
                connection.in_transaction = true;
                connection.is_leader_transaction = !read_only;
                if !read_only {
                    self.record_leader_position(now, id, reply.position, sent_at);
                }
                self.connection_ready(now, id);
            }
            Err(error) => {
                connection.in_transaction = reply.status != TransactionStatus::Idle;
                self.setup_refused(now, id, &error);
            }
        }
    }

    /// Records the position in a leader's reply as proof, if its leadership is confirmed.
    fn record_leader_position(
        &mut self,
        now: Time,
        id: ConnectionId,
        position: Option<Freshness>,
        asked_at: Time,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (service, leader) = (connection.service.clone(), connection.backend.clone());
        if !self.is_leadership_confirmed(now, &service, &leader) {
            return;
        }
        let (Some(freshness), Some(group)) = (position, self.groups.get_mut(&service)) else {
            return;
        };
        group.record_proof(Proof {
            freshness,
            asked_at,
        });
        group.probing_since = None;
        self.changed.insert(service);
    }

    /// The request that uses a connection, if it is still the session's current request.
    pub(crate) fn request_on(&self, id: ConnectionId) -> Option<(SessionId, &Request)> {
        let connection = self.connections.get(&id)?;
        let Some(User::Session(session, number)) = connection.user else {
            return None;
        };
        let request = self.sessions.get(&session)?.request.as_ref()?;
        (request.number == number).then_some((session, request))
    }

    /// A connection is set up: sends its user's statement, or completes the start of its transaction.
    fn connection_ready(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if connection.user == Some(User::Probe) {
            let service = connection.service.clone();
            self.probe_ended(&service);
            return self.free_connection(now, id);
        }
        let Some((session, request)) = self.request_on(id) else {
            return self.free_connection(now, id);
        };
        let kind = request.kind;
        match kind {
            RequestKind::LeaderTransaction | RequestKind::FreshTransaction => {
                self.transaction_begun(now, session, id);
            }
            _ if self.is_on_evacuated_backend(now, id)
                || self.starts_after_drain(now, id, kind) =>
            {
                self.release_unusable(now, session, id);
            }
            RequestKind::Write | RequestKind::LeaderRead | RequestKind::FreshRead
                if !self.may_send_on(now, id) =>
            {
                self.wait_for_cold_limit(now, session, id);
            }
            _ => self.send_statement(now, session, id),
        }
    }

    /// Whether a request would start on a back end that became unusable while the connection was set up.
    fn starts_after_drain(&self, now: Time, id: ConnectionId, kind: RequestKind) -> bool {
        let begins = matches!(
            kind,
            RequestKind::Write | RequestKind::LeaderRead | RequestKind::FreshRead
        );
        begins && self.is_backend_unusable(now, id)
    }

    /// A request's back end became unusable while the connection was set up.
    fn release_unusable(&mut self, now: Time, session: SessionId, id: ConnectionId) {
        let kind = self.request_on(id).map(|(_, request)| request.kind);
        self.free_connection(now, id);
        match kind {
            Some(RequestKind::InTransaction { .. } | RequestKind::Commit) => {
                self.fail_transaction(now, session)
            }
            _ => self.retry_on_other_backend(now, session, id, None),
        }
    }

    fn transaction_begun(&mut self, now: Time, session_id: SessionId, id: ConnectionId) {
        let position = self
            .connections
            .get(&id)
            .and_then(|connection| self.backends.get(&connection.backend))
            .and_then(|backend| backend.position);
        self.abandon_other_attempts(session_id, id);
        let Some(session) = self.sessions.get_mut(&session_id) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        session.transaction = Transaction::Open(OpenTransaction {
            connection: id,
            route: request.route.clone(),
            has_run: false,
            wrote: false,
            idle_timer: None,
        });
        let response = Response {
            rows: Vec::new(),
            result: ResponseResult::Completed { signature: None },
            status: TransactionStatus::Open,
            position,
        };
        self.finish(now, session_id, response);
    }

    /// Releases the other connections on which the same request was sent.
    fn abandon_other_attempts(&mut self, session: SessionId, answered: ConnectionId) {
        let Some(request) = self
            .sessions
            .get_mut(&session)
            .and_then(|session| session.request.as_mut())
        else {
            return;
        };
        request.unanswered.remove(&answered);
        let others = std::mem::take(&mut request.unanswered);
        for other in others {
            self.assign_connection(other, User::Abandoned);
        }
    }

    /// The back end refused the set-up of a connection; nothing of the request ran.
    fn setup_refused(&mut self, now: Time, id: ConnectionId, error: &BackendError) {
        let is_probe = self
            .connections
            .get(&id)
            .is_some_and(|connection| connection.user == Some(User::Probe));
        self.record_refusal(now, id, error.code);
        if is_probe {
            if let Some(service) = self.connections.get(&id).map(|c| c.service.clone()) {
                self.probe_ended(&service);
            }
            return self.free_connection(now, id);
        }
        let session = self.request_on(id).map(|(session, _)| session);
        self.free_connection(now, id);
        if let Some(session) = session {
            self.retry_on_other_backend(now, session, id, Some(error));
        }
    }

    /// Updates the back end's state from a refusal.
    pub(crate) fn record_refusal(&mut self, now: Time, id: ConnectionId, code: BackendErrorCode) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let backend_id = connection.backend.clone();
        let service = connection.service.clone();
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        match code {
            BackendErrorCode::Busy => backend.penalize_busy(now),
            BackendErrorCode::NotFresh => backend.penalize_lagging(now),
            BackendErrorCode::ReadOnly => {
                let revision = backend.description.revision;
                if let Some(group) = self.groups.get_mut(&service) {
                    group.denied.insert(backend_id.clone(), revision);
                }
                self.observe(&backend_id, BackendEvidence::NotLeader);
            }
            _ => {}
        }
    }

    /// Retries a request that has not run on a connection, or ends it.
    pub(crate) fn retry_on_other_backend(
        &mut self,
        now: Time,
        session: SessionId,
        connection: ConnectionId,
        error: Option<&BackendError>,
    ) {
        let backend = self.connections.get(&connection).map(|c| c.backend.clone());
        let Some(request) = self
            .sessions
            .get_mut(&session)
            .and_then(|session| session.request.as_mut())
        else {
            return;
        };
        request.unanswered.remove(&connection);
        if !request.unanswered.is_empty() {
            // The other connection on which it was sent may still answer.
            return;
        }
        let requires_leader = request.kind.requires_leader();
        request.stage = Stage::Waiting;
        request.wait_reason = match error.map(|error| error.code) {
            Some(BackendErrorCode::NotFresh) => WaitReason::NotFresh,
            Some(BackendErrorCode::ReadOnly) => WaitReason::NoLeader,
            Some(BackendErrorCode::Busy) => WaitReason::NoConnection,
            _ => WaitReason::NoBackend,
        };
        let is_busy_leader =
            requires_leader && error.is_some_and(|error| error.code == BackendErrorCode::Busy);
        if let Some(backend) = &backend
            && !requires_leader
        {
            request.tried_backends.insert(backend.clone());
        }
        if is_busy_leader || !self.may_try_again(now, session) {
            let retry_after = Some(RETRY_BUSY);
            return match error {
                Some(error) if error.code == BackendErrorCode::Busy => {
                    self.refuse(now, session, ResultCode::Overloaded, retry_after);
                }
                _ => self.refuse_unsent(now, session),
            };
        }
        let is_behind = error.is_some_and(|error| error.code == BackendErrorCode::NotFresh);
        if is_behind && !requires_leader {
            return self.handle_stale_copy(now, session, backend);
        }
        self.record(now, session, backend, Decision::Retried);
        self.attempt(now, session);
    }

    /// A replica lagged behind the read's floor. Where connections are held per zone, the read goes to a
    /// holder in the leader's zone; a forwarded read goes back to its client's node first.
    fn handle_stale_copy(&mut self, now: Time, id: SessionId, backend: Option<BackendId>) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(request) = &mut session.request {
            request.needs_leader_holder = true;
        }
        let session = self.sessions.get(&id);
        let request = session.and_then(|session| Some((session, session.request.as_ref()?)));
        let must_go_back = request
            .is_some_and(|(session, request)| self.has_no_same_zone_backend_left(session, request));
        if must_go_back {
            return self.refuse(now, id, ResultCode::NotFreshEnough, Some(RETRY_BUSY));
        }
        self.record(now, id, backend, Decision::Retried);
        self.dispatch(now, id);
    }

    fn handle_rollback_reply(&mut self, now: Time, id: ConnectionId, reply: &BackendReply) {
        if reply.status != TransactionStatus::Idle {
            return self.drop_connection(now, id);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.in_transaction = false;
        }
        self.free_connection(now, id);
    }

    /// Makes a connection idle, rolling back its open transaction first.
    pub(crate) fn free_connection(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.withheld = None;
        if connection.in_transaction {
            let is_undoing = connection
                .sent
                .iter()
                .any(|sent| sent.step == Step::Rollback);
            connection.user = Some(User::Abandoned);
            if !is_undoing {
                self.send(now, id, BackendCommand::Rollback);
            }
            return;
        }
        if !connection.sent.is_empty() {
            connection.user = Some(User::Abandoned);
            return;
        }
        connection.user = None;
        connection.idle_since = now;
        let service = connection.service.clone();
        let is_used_up = connection.replies.is_full();
        self.changed.insert(service);
        if is_used_up || self.is_backend_unusable(now, id) {
            self.close_connection(id);
        }
    }

    fn handle_statement_reply(
        &mut self,
        now: Time,
        id: ConnectionId,
        sent_at: Time,
        reply: BackendReply,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.in_transaction = reply.status != TransactionStatus::Idle;
        }
        let Some((session, request)) = self.request_on(id) else {
            return self.free_connection(now, id);
        };
        let kind = request.kind;
        if matches!(kind, RequestKind::FreshRead | RequestKind::LeaderRead)
            && let Some(backend) = self.backend_of(id)
            && reply.result.is_ok()
        {
            backend.sample(now, now.since(sent_at));
        }
        match kind {
            RequestKind::InTransaction { .. } => {
                self.handle_transaction_reply(now, session, id, sent_at, reply)
            }
            RequestKind::Commit => self.handle_commit_reply(now, session, id, sent_at, reply),
            _ => self.handle_single_reply(now, session, id, sent_at, reply),
        }
    }

    fn backend_of(&mut self, id: ConnectionId) -> Option<&mut crate::backend::Backend> {
        let connection = self.connections.get(&id)?;
        self.backends.get_mut(&connection.backend).map(Box::as_mut)
    }

    /// A statement outside a transaction was answered.
    fn handle_single_reply(
        &mut self,
        now: Time,
        session: SessionId,
        id: ConnectionId,
        sent_at: Time,
        reply: BackendReply,
    ) {
        let Some((_, request)) = self.request_on(id) else {
            return;
        };
        let kind = request.kind;
        let may_repeat = kind.is_retryable() && request.attempts < request.route.attempts;
        if let Err(error) = &reply.result {
            let error = error.clone();
            self.record_refusal(now, id, error.code);
            let goes_on = error.code.is_not_run() && error.code != BackendErrorCode::Malformed;
            if goes_on || (may_repeat && error.code != BackendErrorCode::Malformed) {
                if error.code == BackendErrorCode::UnknownPreparedStatement
                    && let Some(connection) = self.connections.get_mut(&id)
                {
                    connection.prepared.clear();
                }
                self.free_connection(now, id);
                return self.retry_on_other_backend(now, session, id, Some(&error));
            }
        } else if kind == RequestKind::Write {
            self.committed(now, session, id, reply.position, sent_at);
        }
        self.abandon_other_attempts(session, id);
        self.free_connection(now, id);
        self.respond_with_reply(now, session, reply, TransactionStatus::Idle);
    }

    /// The leader acknowledged a write, which the session must see from now on.
    fn committed(
        &mut self,
        now: Time,
        session: SessionId,
        id: ConnectionId,
        position: Option<Freshness>,
        sent_at: Time,
    ) {
        let Some(service) = self.connections.get(&id).map(|c| c.service.clone()) else {
            return;
        };
        if let (Some(position), Some(session)) = (position, self.sessions.get_mut(&session)) {
            session.commits.insert(service, position);
        }
        self.record_leader_position(now, id, position, sent_at);
    }

    fn respond_with_reply(
        &mut self,
        now: Time,
        session: SessionId,
        reply: BackendReply,
        status: TransactionStatus,
    ) {
        let result = match reply.result {
            Ok(signature) => ResponseResult::Completed { signature },
            Err(error) => ResponseResult::Failed(error),
        };
        let response = Response {
            rows: reply.rows,
            result,
            status,
            position: reply.position,
        };
        self.finish(now, session, response);
    }

    /// A statement within a transaction was answered.
    fn handle_transaction_reply(
        &mut self,
        now: Time,
        session_id: SessionId,
        id: ConnectionId,
        sent_at: Time,
        reply: BackendReply,
    ) {
        self.abandon_other_attempts(session_id, id);
        if reply.status == TransactionStatus::Open {
            if reply.result.is_ok() && self.is_leader_transaction(id) {
                self.record_leader_position(now, id, reply.position, sent_at);
            }
            return self.respond_with_reply(now, session_id, reply, TransactionStatus::Open);
        }
        if let Err(error) = &reply.result {
            self.record_refusal(now, id, error.code);
        }
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = Transaction::Failed { is_reported: true };
        }
        self.free_connection(now, id);
        self.respond_with_reply(now, session_id, reply, TransactionStatus::Failed);
    }

    /// Whether the transaction open on a connection was begun as a leader transaction.
    fn is_leader_transaction(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.is_leader_transaction)
    }

    fn handle_commit_reply(
        &mut self,
        now: Time,
        session_id: SessionId,
        id: ConnectionId,
        sent_at: Time,
        reply: BackendReply,
    ) {
        self.abandon_other_attempts(session_id, id);
        let wrote = self
            .sessions
            .get(&session_id)
            .is_some_and(|session| session.has_written());
        if let Some(session) = self.sessions.get_mut(&session_id) {
            session.transaction = Transaction::None;
        }
        match &reply.result {
            Ok(_) if wrote => self.committed(now, session_id, id, reply.position, sent_at),
            Ok(_) => {}
            Err(error) => self.record_refusal(now, id, error.code),
        }
        self.free_connection(now, id);
        self.respond_with_reply(now, session_id, reply, TransactionStatus::Idle);
    }
}
