//! A statement's start: what the session answers by itself, and what becomes a request.

use std::collections::BTreeSet;
use std::sync::Arc;

use stairward_types::{AccessClass, ApiKey, GroupId, ResultCode, Time};

use crate::engine::Engine;
use crate::event::{BackendCommand, Effect};
use crate::identifiers::SessionId;
use crate::reply::ResponseResult;
use crate::residency::Residency;
use crate::session::{Need, OpenTransaction, Request, Session, Stage, Transaction, WaitReason};
use crate::settings::{Consistency, Route};
use crate::statement::{Statement, StatementKind};
use crate::tenants::{self, Identity};
use crate::timers::Timer;

/// The share of the target latency for which a request may wait without having been sent.
const HOLD_DIVISOR: u32 = 5;
/// The share of the target latency after which a read without an answer is also sent elsewhere.
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

    /// Takes a statement in; none stands for one that is not understood.
    pub(crate) fn take_statement(
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
            // A caller that goes on sending without reading answers.
            self.effects.push(Effect::CloseSession { session: id });
            self.session_closed(now, id);
            return;
        }
        session.queue.push_back(statement);
        self.start_next(now, id);
    }

    /// Starts the session's next statement, unless one is under way.
    pub(crate) fn start_next(&mut self, now: Time, id: SessionId) {
        while let Some(session) = self.sessions.get_mut(&id) {
            if session.request.is_some() {
                return;
            }
            match session.queue.pop_front() {
                Some(Some(statement)) => self.start(now, id, statement),
                Some(None) => self.refuse_at_once(id, ResultCode::ProtocolViolation),
                None => break,
            }
        }
        self.end_if_revoked(now, id);
        self.close_if_stopping(now, id);
    }

    fn start(&mut self, now: Time, id: SessionId, statement: Statement) {
        if self.is_revoked(id) {
            return self.refuse_at_once(id, ResultCode::NotAuthenticated);
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
                self.access(now, id, statement);
            }
        }
    }

    /// Changes the session's own state, which a failed transaction does not allow.
    fn change_session(&mut self, id: SessionId, change: impl FnOnce(&mut Session)) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Transaction::Failed { .. } = session.transaction {
            return self.refuse_in_failed(id);
        }
        change(session);
        self.accept(id);
    }

    /// Answers with success that needs no back end.
    fn accept(&mut self, id: SessionId) {
        let result = ResponseResult::Completed { signature: None };
        self.respond(id, result);
    }

    fn refuse_at_once(&mut self, id: SessionId, code: ResultCode) {
        let result = ResponseResult::Refused {
            code,
            retry_after: None,
        };
        self.respond(id, result);
    }

    /// The first statement after the engine ended a transaction learns of it, all later ones are not
    /// understood until the caller ends the transaction.
    fn refuse_in_failed(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Transaction::Failed { is_told } = &mut session.transaction else {
            return;
        };
        let code = if std::mem::replace(is_told, true) {
            ResultCode::ProtocolViolation
        } else {
            ResultCode::TransactionLost
        };
        self.refuse_at_once(id, code);
    }

    /// Answers a statement that needed no back end.
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
                self.stop_resting(id, &open);
                self.roll_back_connection(now, open.connection);
            }
            Transaction::Relayed(relayed) => self.close_forwarded(id, &[relayed.holder].into()),
            Transaction::None | Transaction::Failed { .. } => {}
        }
        self.accept(id);
    }

    /// Undoes the transaction on a connection, which is idle afterwards.
    pub(crate) fn roll_back_connection(
        &mut self,
        now: Time,
        connection: crate::identifiers::ConnectionId,
    ) {
        self.use_connection(connection, crate::connection::User::Abandoned);
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
            Transaction::Open(_) | Transaction::Relayed(_) => {
                return self.refuse_at_once(id, ResultCode::ProtocolViolation);
            }
            Transaction::Failed { .. } => return self.refuse_in_failed(id),
        }
        let Some(route) = self.route_of(id) else {
            return self.refuse_at_once(id, ResultCode::UnknownDatabase);
        };
        let is_leader_only = !read_only || route.consistency == Consistency::Primary;
        let need = if is_leader_only {
            Need::LeaderTransaction
        } else {
            Need::FreshTransaction
        };
        self.begin_request(now, id, statement, route, need);
    }

    fn commit(&mut self, now: Time, id: SessionId, statement: Statement) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match &session.transaction {
            Transaction::None => self.refuse_at_once(id, ResultCode::ProtocolViolation),
            Transaction::Failed { .. } => {
                session.transaction = Transaction::None;
                self.refuse_at_once(id, ResultCode::TransactionLost);
            }
            Transaction::Open(open) => {
                let open = open.clone();
                self.run_in_transaction(now, id, statement, &open, Need::Commit);
            }
            Transaction::Relayed(relayed) => {
                let route = Arc::clone(&relayed.route);
                self.begin_request(now, id, statement, route, Need::Commit);
            }
        }
    }

    fn access(&mut self, now: Time, id: SessionId, statement: Statement) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(access) = access_of(session, &statement) else {
            return self.refuse_at_once(id, ResultCode::UnknownPreparedStatement);
        };
        match &session.transaction {
            Transaction::Failed { .. } => self.refuse_in_failed(id),
            Transaction::Open(open) => {
                let open = open.clone();
                let writes = access == AccessClass::Write;
                self.run_in_transaction(now, id, statement, &open, Need::InTransaction { writes });
            }
            Transaction::Relayed(relayed) => {
                let route = Arc::clone(&relayed.route);
                let writes = access == AccessClass::Write;
                self.begin_request(now, id, statement, route, Need::InTransaction { writes });
            }
            Transaction::None => {
                let Some(route) = self.route_of(id) else {
                    return self.refuse_at_once(id, ResultCode::UnknownDatabase);
                };
                let need = match (access, route.consistency) {
                    (AccessClass::Write, _) => Need::Write,
                    (AccessClass::Read, Consistency::Primary) => Need::LeaderRead,
                    (AccessClass::Read, _) => Need::FreshRead,
                };
                self.begin_request(now, id, statement, route, need);
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
        need: Need,
    ) {
        self.insert_request(now, id, statement, route, need);
        let request = self.sessions.get(&id).and_then(|s| s.request.as_ref());
        let starts_work = !matches!(need, Need::InTransaction { .. } | Need::Commit);
        if starts_work && self.is_too_late_to_begin(now) {
            return self.refuse(now, id, ResultCode::ProxyStopping, None);
        }
        if starts_work && request.is_some_and(|request| request.residency.excludes_all()) {
            return self.refuse(now, id, ResultCode::NoCommonRegion, None);
        }
        self.admit(now, id);
    }

    /// Sends a request that was admitted to a back end, or to another node.
    pub(crate) fn send_out(&mut self, now: Time, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        let is_relayed = matches!(session.transaction, Transaction::Relayed(_));
        if is_relayed || self.goes_elsewhere(now, session, request) {
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
        need: Need,
    ) {
        self.stop_resting(id, open);
        self.insert_request(now, id, statement, Arc::clone(&open.route), need);
        // What has not run yet can begin elsewhere; what has goes on where it began.
        let begins_late = !open.has_run && self.is_use_over(now, open.connection);
        if begins_late || self.is_on_evacuated(now, open.connection) {
            self.roll_back_connection(now, open.connection);
            return self.lose_transaction(now, id);
        }
        self.prepare(now, id, open.connection, None);
    }

    fn insert_request(
        &mut self,
        now: Time,
        id: SessionId,
        statement: Statement,
        route: Arc<Route>,
        need: Need,
    ) {
        let number = self.next_request();
        let deadline = now + route.statement_timeout;
        let hold = deadline.min(now + route.target_latency / HOLD_DIVISOR);
        // What was sent by then runs on, and its connection with it, whether or not the answer is still waited for.
        let session = self.sessions.get(&id);
        let answer_due = session.and_then(|session| session.answer_due);
        let hold_ends = answer_due.map_or(hold, |due| due.max(now).min(hold));
        let hedge_at = (need == Need::FreshRead || need == Need::FreshTransaction)
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
            need,
            received: now,
            deadline,
            hold_ends,
            hedge_at,
            stage: Stage::Waiting,
            floor: None,
            waits_for: WaitReason::NoConnection,
            attempts: 0,
            tries: 0,
            is_for_leader: false,
            tried: BTreeSet::new(),
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

    /// Takes back the timer of a resting transaction.
    pub(crate) fn stop_resting(&mut self, id: SessionId, open: &OpenTransaction) {
        if let Some((at, number)) = open.rests {
            self.timers.cancel(at, Timer::TransactionIdle(id, number));
        }
    }
}

/// Whether a statement reads or writes; none for a prepared name that does not exist.
fn access_of(session: &Session, statement: &Statement) -> Option<AccessClass> {
    match &statement.kind {
        StatementKind::Read => Some(AccessClass::Read),
        StatementKind::Execute { name, .. } => {
            session.prepared.get(name).map(|prepared| prepared.access)
        }
        _ => Some(AccessClass::Write),
    }
}
