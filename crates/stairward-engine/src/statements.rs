//! Start of a statement: the session answers some itself, others become requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use stairward_types::{AccessClass, ApiKey, GroupId, ResultCode, Time};

use crate::engine::Engine;
use crate::event::{BackendCommand, Effect};
use crate::identifiers::SessionId;
use crate::reply::ResponseResult;
use crate::residency::Residency;
use crate::session::{
    OpenTransaction, Request, RequestKind, Session, Stage, Transaction, WaitReason,
};
use crate::settings::{Consistency, Route};
use crate::statement::{Statement, StatementKind};
use crate::tenants::{self, Identity};
use crate::timers::Timer;

/// A request may wait unsent for the target latency divided by this.
const HOLD_DIVISOR: u32 = 5;
/// An unanswered read is sent to a second back end after the target latency divided by this.
const HEDGE_DIVISOR: u32 = 4;

impl Engine {
    pub(crate) fn open_session(&mut self, id: SessionId, database: GroupId, key: Option<ApiKey>) {
        match self.identify(&database, key) {
            Ok(identity) => {
                self.sessions.insert(id, Session::new(database, identity));
                self.effects.push(Effect::AcceptSession { session: id });
            }
            Err(code) => self
                .effects
                .push(Effect::RefuseSession { session: id, code }),
        }
    }

    fn identify(&self, database: &GroupId, key: Option<ApiKey>) -> Result<Identity, ResultCode> {
        let table = self.table.as_ref().ok_or(ResultCode::NotReady)?;
        let route = table.routes.get(database);
        let route = route.ok_or(ResultCode::UnknownDatabase)?;
        tenants::identify(table, route, key)
    }

    /// Queues a statement; none stands for an invalid one.
    pub(crate) fn enqueue_statement(
        &mut self,
        now: Time,
        id: SessionId,
        statement: Option<Statement>,
    ) {
        let limit = self.options.session_queue_limit;
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.queue.len() >= limit {
            // The caller keeps sending without reading responses.
            self.effects.push(Effect::CloseSession { session: id });
            self.session_closed(now, id);
            return;
        }
        session.queue.push_back(statement);
        self.start_next(now, id);
    }

    /// Starts the session's next statement, unless a request is in progress.
    pub(crate) fn start_next(&mut self, now: Time, id: SessionId) {
        while let Some(session) = self.sessions.get_mut(&id) {
            if session.request.is_some() {
                return;
            }
            match session.queue.pop_front() {
                Some(Some(statement)) => self.start_statement(now, id, statement),
                Some(None) => self.respond_refused(id, ResultCode::ProtocolViolation),
                None => break,
            }
        }
        self.end_if_revoked(now, id);
        self.close_if_stopping(now, id);
    }

    fn start_statement(&mut self, now: Time, id: SessionId, statement: Statement) {
        if self.is_revoked(id) {
            return self.respond_refused(id, ResultCode::NotAuthenticated);
        }
        match &statement.kind {
            StatementKind::SetValue { name, value } => {
                let (name, value) = (name.clone(), value.clone());
                self.change_session(id, |session| {
                    session.values.insert(name, value);
                });
            }
            StatementKind::Prepare { name, prepared } => {
                let (name, prepared) = (name.clone(), prepared.clone());
                self.change_session(id, |session| {
                    session.prepared.insert(name, prepared);
                });
            }
            StatementKind::Deallocate { name } => {
                let name = name.clone();
                self.change_session(id, |session| {
                    session.prepared.remove(&name);
                });
            }
            StatementKind::Rollback => self.roll_back(now, id),
            StatementKind::Begin { read_only } => {
                let read_only = *read_only;
                self.begin_transaction(now, id, statement, read_only);
            }
            StatementKind::Commit => self.commit(now, id, statement),
            StatementKind::Read | StatementKind::Write | StatementKind::Execute { .. } => {
                self.run_access(now, id, statement);
            }
        }
    }

    /// Changes the session's own state, which is not allowed in a failed transaction.
    fn change_session(&mut self, id: SessionId, change: impl FnOnce(&mut Session)) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Transaction::Failed { .. } = session.transaction {
            return self.refuse_in_failed_transaction(id);
        }
        change(session);
        self.respond_completed(id);
    }

    /// Responds with success without a back end.
    fn respond_completed(&mut self, id: SessionId) {
        let result = ResponseResult::Completed { signature: None };
        self.respond(id, result);
    }

    fn respond_refused(&mut self, id: SessionId, code: ResultCode) {
        let result = ResponseResult::Refused {
            code,
            retry_after: None,
        };
        self.respond(id, result);
    }

    /// The first statement after the engine ended a transaction reports the loss. Later ones are protocol
    /// violations until the caller ends the transaction.
    fn refuse_in_failed_transaction(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Transaction::Failed { is_reported } = &mut session.transaction else {
            return;
        };
        let code = if std::mem::replace(is_reported, true) {
            ResultCode::ProtocolViolation
        } else {
            ResultCode::TransactionLost
        };
        self.respond_refused(id, code);
    }

    /// Responds to a statement that needed no back end.
    pub(crate) fn respond(&mut self, id: SessionId, result: ResponseResult) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let response = session.own_response(result);
        self.effects.push(Effect::Respond {
            session: id,
            response,
        });
    }

    fn roll_back(&mut self, now: Time, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let ended = std::mem::replace(&mut session.transaction, Transaction::None);
        match ended {
            Transaction::Open(open) => {
                self.cancel_idle_timer(id, &open);
                self.roll_back_connection(now, open.connection);
            }
            Transaction::Forwarded(forwarded) => {
                self.close_forwarded(id, &[forwarded.holder].into())
            }
            Transaction::None | Transaction::Failed { .. } => {}
        }
        self.respond_completed(id);
    }

    /// Rolls back the transaction on a connection, which is idle afterwards.
    pub(crate) fn roll_back_connection(
        &mut self,
        now: Time,
        connection: crate::identifiers::ConnectionId,
    ) {
        self.assign_connection(connection, crate::connection::User::Abandoned);
        self.send(now, connection, BackendCommand::Rollback);
    }

    fn begin_transaction(
        &mut self,
        now: Time,
        id: SessionId,
        statement: Statement,
        read_only: bool,
    ) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        match session.transaction {
            Transaction::None => {}
            Transaction::Open(_) | Transaction::Forwarded(_) => {
                return self.respond_refused(id, ResultCode::ProtocolViolation);
            }
            Transaction::Failed { .. } => return self.refuse_in_failed_transaction(id),
        }
        let Some(route) = self.route_of(id) else {
            return self.respond_refused(id, ResultCode::UnknownDatabase);
        };
        let requires_leader = !read_only || route.consistency == Consistency::Primary;
        let kind = if requires_leader {
            RequestKind::LeaderTransaction
        } else {
            RequestKind::FreshTransaction
        };
        self.begin_request(now, id, statement, route, kind);
    }

    fn commit(&mut self, now: Time, id: SessionId, statement: Statement) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match &session.transaction {
            Transaction::None => self.respond_refused(id, ResultCode::ProtocolViolation),
            Transaction::Failed { .. } => {
                session.transaction = Transaction::None;
                self.respond_refused(id, ResultCode::TransactionLost);
            }
            Transaction::Open(open) => {
                let open = open.clone();
                self.run_in_transaction(now, id, statement, &open, RequestKind::Commit);
            }
            Transaction::Forwarded(forwarded) => {
                let route = Arc::clone(&forwarded.route);
                self.begin_request(now, id, statement, route, RequestKind::Commit);
            }
        }
    }

    fn run_access(&mut self, now: Time, id: SessionId, statement: Statement) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(access) = access_of(session, &statement) else {
            return self.respond_refused(id, ResultCode::UnknownPreparedStatement);
        };
        match &session.transaction {
            Transaction::Failed { .. } => self.refuse_in_failed_transaction(id),
            Transaction::Open(open) => {
                let open = open.clone();
                let writes = access == AccessClass::Write;
                self.run_in_transaction(
                    now,
                    id,
                    statement,
                    &open,
                    RequestKind::InTransaction { writes },
                );
            }
            Transaction::Forwarded(forwarded) => {
                let route = Arc::clone(&forwarded.route);
                let writes = access == AccessClass::Write;
                self.begin_request(
                    now,
                    id,
                    statement,
                    route,
                    RequestKind::InTransaction { writes },
                );
            }
            Transaction::None => {
                let Some(route) = self.route_of(id) else {
                    return self.respond_refused(id, ResultCode::UnknownDatabase);
                };
                let kind = match (access, route.consistency) {
                    (AccessClass::Write, _) => RequestKind::Write,
                    (AccessClass::Read, Consistency::Primary) => RequestKind::LeaderRead,
                    (AccessClass::Read, _) => RequestKind::FreshRead,
                };
                self.begin_request(now, id, statement, route, kind);
            }
        }
    }

    fn route_of(&self, id: SessionId) -> Option<Arc<Route>> {
        let database = &self.sessions.get(&id)?.database;
        self.table.as_ref()?.routes.get(database).cloned()
    }

    fn begin_request(
        &mut self,
        now: Time,
        id: SessionId,
        statement: Statement,
        route: Arc<Route>,
        kind: RequestKind,
    ) {
        self.insert_request(now, id, statement, route, kind);
        let request = self.sessions.get(&id).and_then(|s| s.request.as_ref());
        let is_new_work = !matches!(
            kind,
            RequestKind::InTransaction { .. } | RequestKind::Commit
        );
        if is_new_work && self.is_refusing_new_work(now) {
            return self.refuse(now, id, ResultCode::ProxyStopping, None);
        }
        if is_new_work && request.is_some_and(|request| request.residency.excludes_all()) {
            return self.refuse(now, id, ResultCode::NoCommonRegion, None);
        }
        self.admit(now, id);
    }

    /// Sends an admitted request to a back end or forwards it to another node.
    pub(crate) fn dispatch(&mut self, now: Time, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let is_forwarded_transaction = matches!(session.transaction, Transaction::Forwarded(_));
        if is_forwarded_transaction || self.must_forward(now, session, request) {
            self.forward(now, id);
        } else {
            self.attempt(now, id);
        }
    }

    fn run_in_transaction(
        &mut self,
        now: Time,
        id: SessionId,
        statement: Statement,
        open: &OpenTransaction,
        kind: RequestKind,
    ) {
        self.cancel_idle_timer(id, open);
        self.insert_request(now, id, statement, Arc::clone(&open.route), kind);
        // A transaction without statements so far can begin on another back end; one that has run continues
        // where it began.
        let starts_after_drain = !open.has_run && self.is_backend_unusable(now, open.connection);
        if starts_after_drain || self.is_on_evacuated_backend(now, open.connection) {
            self.roll_back_connection(now, open.connection);
            return self.fail_transaction(now, id);
        }
        self.prepare(now, id, open.connection, None);
    }

    fn insert_request(
        &mut self,
        now: Time,
        id: SessionId,
        statement: Statement,
        route: Arc<Route>,
        kind: RequestKind,
    ) {
        let number = self.next_request();
        let deadline = now + route.statement_timeout;
        let hold = deadline.min(now + route.target_latency / HOLD_DIVISOR);
        // The hold time ends in time for the answer to reach the forwarding node. A statement that was sent
        // by then continues, whether or not its response is still awaited.
        let session = self.sessions.get(&id);
        let answer_due = session.and_then(|session| session.answer_due);
        let hold_ends = answer_due.map_or(hold, |due| due.max(now).min(hold));
        let hedge_at = (kind == RequestKind::FreshRead || kind == RequestKind::FreshTransaction)
            .then(|| now + route.target_latency / HEDGE_DIVISOR)
            .filter(|at| *at < deadline);
        self.timers.set(deadline, Timer::Deadline(id, number));
        self.timers.set(hold_ends, Timer::HoldEnds(id, number));
        if let Some(at) = hedge_at {
            self.timers.set(at, Timer::Hedge(id, number));
        }
        let request = Request {
            number,
            statement,
            residency: self.residency_of(id, &route),
            route,
            kind,
            received: now,
            deadline,
            hold_ends,
            hedge_at,
            stage: Stage::Waiting,
            floor: None,
            wait_reason: WaitReason::NoConnection,
            attempts: 0,
            backend_tries: 0,
            needs_leader_holder: false,
            tried_backends: BTreeSet::new(),
            tried_holders: BTreeSet::new(),
            last_backend: None,
            unanswered: BTreeSet::new(),
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.request = Some(request);
        }
    }

    fn residency_of(&self, id: SessionId, route: &Route) -> Residency {
        let tenant = self.sessions.get(&id).and_then(|s| s.identity.tenant());
        match &self.table {
            Some(table) => table.residency(route, tenant),
            None => route.residency.clone(),
        }
    }

    pub(crate) fn cancel_idle_timer(&mut self, id: SessionId, open: &OpenTransaction) {
        if let Some((at, number)) = open.idle_timer {
            self.timers.cancel(at, Timer::TransactionIdle(id, number));
        }
    }
}

/// Whether a statement reads or writes; none for an unknown prepared statement.
fn access_of(session: &Session, statement: &Statement) -> Option<AccessClass> {
    match &statement.kind {
        StatementKind::Read => Some(AccessClass::Read),
        StatementKind::Execute { name, .. } => {
            session.prepared.get(name).map(|prepared| prepared.access)
        }
        _ => Some(AccessClass::Write),
    }
}
