//! Processing of a request: connection set-up, sending, timeouts and completion.

use std::time::Duration;

use stairward_types::{AccessClass, BackendId, Freshness, OutcomeClass, ResultCode, Time};

use crate::connection::{SentStep, Step, User, step_of};
use crate::engine::{Engine, WaitingKey};
use crate::event::{
    BackendCommand, BackendEvidence, Decision, Effect, RequestMeasurement, RequestRecord,
};
use crate::identifiers::{ConnectionId, RequestNumber, SessionId};
use crate::reply::{Response, ResponseResult};
use crate::session::{Request, RequestKind, Stage, Transaction, WaitReason};
use crate::statement::StatementKind;
use crate::timers::Timer;

/// A back end counts as silent if a command has had no reply for this long.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection is closed if a reply is missing for this long while the back end has replied on others, or if
/// nobody waits for the reply.
const LOST_REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection is closed if a reply is missing for this long.
const UNRESPONSIVE_BACKEND_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Retry delays for refused callers, by reason.
const RETRY_NO_LEADER: Duration = Duration::from_millis(500);
const RETRY_OVERLOADED: Duration = Duration::from_millis(200);
const RETRY_NOT_FRESH: Duration = Duration::from_millis(100);
/// Maximum number of back ends tried for one request.
const MAX_BACKEND_TRIES: u32 = 5;

impl Engine {
    pub(crate) fn assign_connection(&mut self, id: ConnectionId, user: User) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.user = Some(user);
        }
    }

    /// Sends a command and records that its reply is pending.
    pub(crate) fn send(&mut self, now: Time, id: ConnectionId, command: BackendCommand) {
        let step = step_of(&command);
        self.send_step(now, id, command, step);
    }

    /// Sends a command that is a step of this kind, and records that its reply is pending.
    pub(crate) fn send_step(
        &mut self,
        now: Time,
        id: ConnectionId,
        command: BackendCommand,
        step: Step,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if step == Step::Statement
            && let Some(backend) = self.backends.get_mut(&connection.backend)
        {
            backend.statement_sent(now);
        }
        if step == Step::Rollback {
            // The rollback undoes whatever the withheld reply acknowledged.
            connection.withheld = None;
        }
        connection.sent.push_back(SentStep { step, at: now });
        if !std::mem::replace(&mut connection.is_watched, true) {
            self.timers
                .set(now + SILENCE_TIMEOUT, Timer::ReplyCheck(id));
        }
        self.effects.push(Effect::Send {
            connection: id,
            command,
        });
    }

    /// Sets up a connection for a session's request; the request is sent once the set-up is complete.
    pub(crate) fn prepare(
        &mut self,
        now: Time,
        id: SessionId,
        connection_id: ConnectionId,
        floor: Option<Freshness>,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(request) = &mut session.request else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        request.stage = Stage::Preparing(connection_id);
        request.backend_tries += 1;
        request.unanswered.insert(connection_id);
        request.floor = floor;
        request.last_backend = Some(connection.backend.clone());
        connection.user = Some(User::Session(id, request.number));
        let prepared = match &request.statement.kind {
            StatementKind::Execute { name, .. } => session.prepared.get(name),
            _ => None,
        };
        let mut commands = connection.setup(&session.values, prepared);
        match request.kind {
            RequestKind::LeaderRead | RequestKind::LeaderTransaction => {
                commands.push(BackendCommand::Begin {
                    read_only: false,
                    floor: None,
                })
            }
            RequestKind::FreshTransaction => commands.push(BackendCommand::Begin {
                read_only: true,
                floor,
            }),
            RequestKind::Write
            | RequestKind::FreshRead
            | RequestKind::InTransaction { .. }
            | RequestKind::Commit => {}
        }
        if commands.is_empty() {
            return self.send_statement(now, id, connection_id);
        }
        for command in commands {
            self.send(now, connection_id, command);
        }
    }

    /// Sends a request's statement on a connection that is set up for it.
    pub(crate) fn send_statement(&mut self, now: Time, id: SessionId, connection: ConnectionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(request) = &mut session.request else {
            return;
        };
        request.stage = Stage::Sent(connection);
        request.attempts += 1;
        let statement = &request.statement;
        let is_read = request.kind == RequestKind::FreshRead;
        let floor = request.floor.filter(|_| is_read);
        let prepared = match &statement.kind {
            StatementKind::Execute { name, arguments } => session
                .prepared
                .get(name)
                .map(|prepared| (prepared.clone(), arguments.clone())),
            _ => None,
        };
        let command = match prepared {
            Some((prepared, arguments)) => BackendCommand::Execute {
                id: statement.id.clone(),
                prepared,
                arguments,
                floor,
            },
            None => BackendCommand::Run {
                id: statement.id.clone(),
                text: statement.text.clone(),
                floor,
            },
        };
        if let RequestKind::InTransaction { writes } = request.kind
            && let Transaction::Open(open) = &mut session.transaction
        {
            open.has_run = true;
            open.wrote |= writes;
        }
        self.send(now, connection, command);
    }

    /// Completes a session's request with a response.
    pub(crate) fn finish(&mut self, now: Time, id: SessionId, response: Response) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(request) = session.request.take() else {
            return;
        };
        let tenant = session.identity.tenant().cloned();
        self.cancel_timers(id, &request);
        self.remove_from_queue(id, &request);
        self.leave_admission(id, tenant.as_ref(), &request);
        self.start_idle_timer(now, id);
        self.measure(now, &request, &response);
        self.effects.push(Effect::Respond {
            session: id,
            response,
        });
        self.start_next(now, id);
    }

    fn measure(&mut self, now: Time, request: &Request, response: &Response) {
        let outcome = match &response.result {
            ResponseResult::Completed { .. } => OutcomeClass::Answered,
            ResponseResult::Refused { code, .. } => code.class(),
            ResponseResult::Failed(error) if error.code.is_not_run() => OutcomeClass::NotRun,
            ResponseResult::Failed(_) => OutcomeClass::OutcomeUnknown,
        };
        let access = match request.kind {
            RequestKind::Write
            | RequestKind::Commit
            | RequestKind::InTransaction { writes: true } => AccessClass::Write,
            _ => AccessClass::Read,
        };
        let answered_by = match request.stage {
            Stage::Sent(connection) | Stage::Preparing(connection) => {
                self.connections.get(&connection)
            }
            Stage::Admission | Stage::Waiting | Stage::Forwarded(_) => None,
        };
        let backend = answered_by.and_then(|connection| self.backends.get(&connection.backend));
        let served_by = backend
            .filter(|_| outcome == OutcomeClass::Answered)
            .map(|backend| backend.description.role);
        self.effects.push(Effect::Measured(RequestMeasurement {
            consistency: request.route.consistency,
            access,
            outcome,
            served_by,
            latency: now.since(request.received),
        }));
    }

    pub(crate) fn cancel_timers(&mut self, id: SessionId, request: &Request) {
        let number = request.number;
        self.timers
            .cancel(request.deadline, Timer::Deadline(id, number));
        self.timers
            .cancel(request.hold_ends, Timer::HoldEnds(id, number));
        if let Some(at) = request.hedge_at {
            self.timers.cancel(at, Timer::Hedge(id, number));
        }
    }

    /// Starts the idle timer of the session's open transaction.
    fn start_idle_timer(&mut self, now: Time, id: SessionId) {
        let number = self.next_request();
        let Some(limit) = self.table.as_ref().map(|t| t.transaction_idle_timeout) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&id)
            && let Transaction::Open(open) = &mut session.transaction
        {
            let at = now + limit;
            open.idle_timer = Some((at, number));
            self.timers.set(at, Timer::TransactionIdle(id, number));
        }
    }

    /// Refuses a session's request that provably has not run.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        id: SessionId,
        code: ResultCode,
        retry_after: Option<Duration>,
    ) {
        self.record_with(now, id, None, Decision::Refused(code), retry_after);
        let result = ResponseResult::Refused { code, retry_after };
        self.finish_with(now, id, result);
    }

    /// Ends a session's request with an unknown outcome.
    pub(crate) fn finish_unknown(&mut self, now: Time, id: SessionId, code: ResultCode) {
        self.record(now, id, None, Decision::OutcomeUnknown(code));
        let result = ResponseResult::Refused {
            code,
            retry_after: None,
        };
        self.finish_with(now, id, result);
    }

    pub(crate) fn finish_with(&mut self, now: Time, id: SessionId, result: ResponseResult) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let response = session.own_response(result);
        self.finish(now, id, response);
    }

    pub(crate) fn record(
        &mut self,
        now: Time,
        id: SessionId,
        backend: Option<BackendId>,
        decision: Decision,
    ) {
        self.record_with(now, id, backend, decision, None);
    }

    fn record_with(
        &mut self,
        now: Time,
        id: SessionId,
        backend: Option<BackendId>,
        decision: Decision,
        retry_after: Option<Duration>,
    ) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let service = &request.route.service;
        let proof = self
            .groups
            .get(service)
            .and_then(|group| group.proofs.newest());
        let record = RequestRecord {
            id: request.statement.id.clone(),
            service: Some(service.clone()),
            tenant: session.identity.tenant().cloned(),
            retry_after,
            backend: backend.or_else(|| request.last_backend.clone()),
            decision,
            attempts: request.attempts,
            age: now.since(request.received),
            proof_age: proof.map(|proof| now.since(proof.asked_at)),
        };
        self.effects.push(Effect::Record(record));
    }

    /// Refuses a request that was not sent, or that every back end it was sent to refused.
    pub(crate) fn refuse_unsent(&mut self, now: Time, id: SessionId) {
        let Some(request) = self.sessions.get(&id).and_then(|s| s.request.as_ref()) else {
            return;
        };
        let (code, retry_after) = match request.wait_reason {
            WaitReason::NoBackend => (ResultCode::BackendUnavailable, RETRY_NO_LEADER),
            WaitReason::NoLeader => (ResultCode::BackendUnavailable, RETRY_NO_LEADER),
            WaitReason::NotFresh => (ResultCode::NotFreshEnough, RETRY_NOT_FRESH),
            WaitReason::NoConnection => (ResultCode::Overloaded, RETRY_OVERLOADED),
            WaitReason::Cold => {
                let service = request.route.service.clone();
                let retry_after = self.cold_retry_after(now, &service);
                (
                    ResultCode::Overloaded,
                    retry_after.unwrap_or(RETRY_OVERLOADED),
                )
            }
        };
        self.refuse(now, id, code, Some(retry_after));
    }

    fn current_request(&self, id: SessionId, number: RequestNumber) -> Option<&Request> {
        let request = self.sessions.get(&id)?.request.as_ref()?;
        (request.number == number).then_some(request)
    }

    /// Refuses a request that has not been sent by the end of its hold time, so that the caller can retry
    /// elsewhere.
    pub(crate) fn hold_ended(&mut self, now: Time, id: SessionId, number: RequestNumber) {
        let Some(request) = self.current_request(id, number) else {
            return;
        };
        match request.stage {
            Stage::Admission => self.admission_wait_expired(now, id),
            Stage::Waiting if request.unanswered.is_empty() => self.refuse_unsent(now, id),
            Stage::Preparing(connection) if self.is_on_silent_backend(connection) => {
                self.refuse_prepared(now, id, ResultCode::BackendUnavailable);
            }
            Stage::Waiting | Stage::Preparing(_) | Stage::Sent(_) | Stage::Forwarded(_) => {}
        }
    }

    fn is_on_silent_backend(&self, connection: ConnectionId) -> bool {
        let backend = self
            .connections
            .get(&connection)
            .and_then(|connection| self.backends.get(&connection.backend));
        backend.is_some_and(|backend| backend.is_silent)
    }

    /// Sends an unanswered read to a second back end. The first reply counts.
    pub(crate) fn hedge(&mut self, now: Time, id: SessionId, number: RequestNumber) {
        let Some(request) = self.current_request(id, number) else {
            return;
        };
        let (Stage::Preparing(connection) | Stage::Sent(connection)) = request.stage else {
            return;
        };
        if request.attempts >= request.route.attempts.max(2) {
            return;
        }
        let Some(backend) = self.connections.get(&connection).map(|c| c.backend.clone()) else {
            return;
        };
        self.record(now, id, Some(backend.clone()), Decision::Hedged);
        if let Some(request) = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut()) {
            request.tried_backends.insert(backend);
            request.stage = Stage::Waiting;
            request.hold_ends = request.deadline;
        }
        self.attempt(now, id);
    }

    pub(crate) fn deadline_passed(&mut self, now: Time, id: SessionId, number: RequestNumber) {
        let Some(request) = self.current_request(id, number) else {
            return;
        };
        let is_sent = request.attempts > 0;
        let connections: Vec<_> = request.unanswered.iter().copied().collect();
        let kind = request.kind;
        if let Stage::Forwarded(holder) = request.stage {
            self.release_holder(id, holder);
        }
        for connection in connections {
            self.close_connection(connection);
        }
        match kind {
            RequestKind::InTransaction { .. } => self.fail_transaction(now, id),
            RequestKind::Commit => self.fail_commit(now, id, ResultCode::DeadlineAfterSend),
            _ if is_sent => self.finish_unknown(now, id, ResultCode::DeadlineAfterSend),
            _ => {
                let code = ResultCode::DeadlineBeforeSend;
                self.refuse(now, id, code, Some(RETRY_NO_LEADER));
            }
        }
    }

    /// Refuses a request whose connection was still being set up, and closes the connection.
    pub(crate) fn refuse_prepared(&mut self, now: Time, id: SessionId, code: ResultCode) {
        let Some(request) = self.sessions.get(&id).and_then(|s| s.request.as_ref()) else {
            return;
        };
        let kind = request.kind;
        let connections: Vec<_> = request.unanswered.iter().copied().collect();
        for connection in connections {
            self.close_connection(connection);
        }
        match kind {
            RequestKind::InTransaction { .. } | RequestKind::Commit => {
                self.fail_transaction(now, id)
            }
            _ => self.refuse(now, id, code, Some(RETRY_NO_LEADER)),
        }
    }

    /// The open transaction was lost before its commit was sent: nothing of it is kept.
    pub(crate) fn fail_transaction(&mut self, now: Time, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = Transaction::Failed { is_reported: true };
        }
        self.refuse(now, id, ResultCode::TransactionLost, Some(RETRY_NO_LEADER));
    }

    /// The commit was sent and its reply is lost. The outcome is known only if nothing was written.
    pub(crate) fn fail_commit(&mut self, now: Time, id: SessionId, code: ResultCode) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let wrote = session.has_written();
        session.transaction = Transaction::None;
        if wrote {
            self.finish_unknown(now, id, code);
        } else {
            self.refuse(now, id, ResultCode::TransactionLost, Some(RETRY_NO_LEADER));
        }
    }

    pub(crate) fn transaction_idle_expired(
        &mut self,
        now: Time,
        id: SessionId,
        number: RequestNumber,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let idle_timer = session
            .open_transaction()
            .is_some_and(|open| open.idle_timer.is_some_and(|(_, timer)| timer == number));
        if idle_timer && session.request.is_none() {
            self.abandon_transaction(now, id);
        }
    }

    /// Ends an open transaction without a request of its caller, who is told at its next statement.
    pub(crate) fn abandon_transaction(&mut self, now: Time, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let failed = Transaction::Failed { is_reported: false };
        match std::mem::replace(&mut session.transaction, failed) {
            Transaction::Open(open) => {
                self.cancel_idle_timer(id, &open);
                self.roll_back_connection(now, open.connection);
            }
            Transaction::Forwarded(forwarded) => {
                self.close_forwarded(id, &[forwarded.holder].into())
            }
            Transaction::None | Transaction::Failed { .. } => {}
        }
    }

    /// Cleans up after a caller that disconnected; its open transaction is rolled back.
    pub(crate) fn session_closed(&mut self, now: Time, id: SessionId) {
        self.pending.remove(&id);
        let Some(mut session) = self.sessions.remove(&id) else {
            return;
        };
        if let Some(request) = session.request.take() {
            self.cancel_timers(id, &request);
            self.remove_from_queue(id, &request);
            self.leave_admission(id, session.identity.tenant(), &request);
            for connection in &request.unanswered {
                self.assign_connection(*connection, User::Abandoned);
            }
        }
        self.close_forwarded(id, &session.holders);
        if let Transaction::Open(open) = &session.transaction {
            self.cancel_idle_timer(id, open);
            let is_busy = self
                .connections
                .get(&open.connection)
                .is_some_and(|connection| !connection.sent.is_empty());
            if is_busy {
                self.assign_connection(open.connection, User::Abandoned);
            } else {
                self.roll_back_connection(now, open.connection);
            }
        }
        self.stop_if_empty(now);
    }

    fn remove_from_queue(&mut self, id: SessionId, request: &Request) {
        let key = WaitingKey::of(id, request);
        if let Some(queue) = self.waiting.get_mut(&request.route.service) {
            queue.remove(&key);
        }
    }

    /// Whether a request may be tried on another back end.
    pub(crate) fn may_try_again(&self, now: Time, id: SessionId) -> bool {
        let request = self.sessions.get(&id).and_then(|s| s.request.as_ref());
        request.is_some_and(|request| {
            request.backend_tries < MAX_BACKEND_TRIES && now < request.deadline
        })
    }

    /// Checks a connection for replies that are overdue.
    pub(crate) fn check_replies(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_watched = false;
        let Some(oldest) = connection.oldest_unanswered() else {
            return;
        };
        let has_user = !matches!(connection.user, None | Some(User::Abandoned));
        let backend_id = connection.backend.clone();
        if now < oldest + SILENCE_TIMEOUT {
            return self.watch(id, oldest + SILENCE_TIMEOUT);
        }
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        let has_answered_since = backend.answered_at.is_some_and(|at| at > oldest);
        if !has_answered_since {
            backend.is_silent = true;
            self.changed.insert(backend.description.service.clone());
            self.observe(&backend_id, BackendEvidence::Unresponsive);
        }
        let patience = if has_answered_since || !has_user {
            LOST_REPLY_TIMEOUT
        } else {
            UNRESPONSIVE_BACKEND_TIMEOUT
        };
        if now >= oldest + patience {
            self.drop_connection(now, id);
        } else {
            self.watch(id, (oldest + patience).min(now + SILENCE_TIMEOUT));
        }
    }

    fn watch(&mut self, id: ConnectionId, at: Time) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_watched = true;
            self.timers.set(at, Timer::ReplyCheck(id));
        }
    }
}
