//! Sessions whose back ends' connections are held by other nodes: their statements are forwarded to one of
//! the holders, with all of the session that it needs. The session itself stays here.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairward_types::{
    Freshness, GroupId, NodeId, ResultCode, Revision, ServiceName, TenantName, Time,
};

use crate::engine::Engine;
use crate::event::{Decision, Effect};
use crate::holder_directory::ServiceHolders;
use crate::identifiers::{RequestNumber, SessionId};
use crate::reply::{Response, ResponseResult, TransactionStatus};
use crate::session::{ForwardedTransaction, RequestKind, Session, Stage, Transaction};
use crate::settings::Route;
use crate::statement::{PreparedStatement, Statement, StatementKind};
use crate::tenants::Identity;

/// Holders that one request is forwarded to at most.
const MAX_HOLDERS_PER_REQUEST: usize = 3;
/// When a caller should come back whose statement no holder took.
const RETRY_NO_HOLDER: Duration = Duration::from_millis(300);
/// What an answer takes back to the session's node at the most: two regions, and a busy node's turn. A holder that has
/// not sent a statement by then says so while that is still an answer; later its node could not tell whether it ran.
const REPLY_TRANSIT_ALLOWANCE: Duration = Duration::from_millis(60);
/// The name under which a holder keeps what a forwarded statement runs.
const FORWARDED_NAME: &str = "forwarded";

/// A statement for another node to run, with all of the session that it needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// The database that the session asked for.
    pub database: GroupId,
    /// The revision of the configuration in force where the session is.
    pub revision: Revision,
    /// The tenant whose client it is, as its node has checked; none on a public route, and where tenants are not
    /// told apart.
    pub tenant: Option<TenantName>,
    /// Whether the session has a transaction open at the holder.
    pub in_transaction: bool,
    /// The session's values.
    pub values: BTreeMap<String, String>,
    /// What the statement runs that was prepared.
    pub prepared: Option<PreparedStatement>,
    /// The session's newest commit at the service.
    pub commit: Option<Freshness>,
    /// The statement.
    pub statement: Statement,
    /// How much longer the session's node waits for the answer.
    pub time_left: Duration,
}

impl Engine {
    /// Takes in who holds the connections of these services now. What this node holds of others' is closed.
    pub(crate) fn apply_holder_change(&mut self, holders: BTreeMap<ServiceName, ServiceHolders>) {
        for (service, holders) in holders {
            if self.holders.set(service.clone(), holders) {
                self.close_idle_connections_of(&service);
            }
        }
    }

    fn close_idle_connections_of(&mut self, service: &ServiceName) {
        let members = self.groups.get(service).map(|group| &group.members);
        let backends = members
            .into_iter()
            .flatten()
            .filter_map(|id| self.backends.get(id));
        let idle: Vec<_> = backends
            .flat_map(|backend| self.idle_connections_of(&backend.connections))
            .collect();
        for connection in idle {
            self.close_connection(connection);
        }
    }

    /// Forwards the session's request to the holder of its transaction, or to the next one in rank.
    pub(crate) fn forward(&mut self, now: Time, id: SessionId) {
        let revision = self.table.as_ref().map(|table| table.revision);
        let revision = revision.unwrap_or_default();
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let bound = match &session.transaction {
            Transaction::Forwarded(forwarded) => Some(forwarded.holder),
            _ => None,
        };
        let Some(holder) = bound.or_else(|| self.next_holder(now, session)) else {
            return self.refuse(now, id, ResultCode::NotOwner, Some(RETRY_NO_HOLDER));
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(request) = &mut session.request else {
            return;
        };
        request.tried_holders.insert(holder);
        if holder == self.options.limits.node {
            request.stage = Stage::Waiting;
            return self.attempt(now, id);
        }
        let service = &request.route.service;
        request.stage = Stage::Forwarded(holder);
        request.attempts += 1;
        session.holders.insert(holder);
        let prepared = match &request.statement.kind {
            StatementKind::Execute { name, .. } => session.prepared.get(name).cloned(),
            _ => None,
        };
        let forwarded = ForwardedRequest {
            database: session.database.clone(),
            revision,
            tenant: session.identity.tenant().cloned(),
            in_transaction: bound.is_some(),
            values: session.values.clone(),
            prepared,
            commit: session.commits.get(service).copied(),
            statement: request.statement.clone(),
            time_left: request.deadline.since(now),
        };
        if request.kind == (RequestKind::InTransaction { writes: true })
            && let Transaction::Forwarded(forwarded) = &mut session.transaction
        {
            forwarded.wrote = true;
        }
        self.effects.push(Effect::Forward {
            holder,
            session: id,
            request: request.number.0,
            forwarded,
        });
        self.watch_holder(now, holder, id);
    }

    /// The next holder for the session's request; a silent one is better than none.
    fn next_holder(&self, now: Time, session: &Session) -> Option<NodeId> {
        let request = session.request.as_ref()?;
        if request.tried_holders.len() >= MAX_HOLDERS_PER_REQUEST {
            return None;
        }
        let holders = self.holders_for(now, session, request);
        let untried = holders
            .into_iter()
            .filter(|holder| !request.tried_holders.contains(holder));
        untried.min_by_key(|holder| self.is_silent_holder(*holder))
    }

    /// A statement comes from another node, for a session that it numbers anew here.
    pub(crate) fn handle_forwarded(
        &mut self,
        now: Time,
        id: SessionId,
        forwarded: ForwardedRequest,
    ) {
        let route = self
            .table
            .as_ref()
            .and_then(|table| table.routes.get(&forwarded.database).cloned());
        let is_in_transaction = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.status() != TransactionStatus::Idle);
        if is_in_transaction && !forwarded.in_transaction {
            // What its node has given up is over here too.
            self.session_closed(now, id);
        }
        if forwarded.in_transaction && !is_in_transaction {
            return self.refuse_forwarded(id, ResultCode::NotReady);
        }
        let is_older = !is_in_transaction
            && self
                .table
                .as_ref()
                .is_none_or(|table| table.revision < forwarded.revision);
        let Some(route) = route.filter(|_| !is_older) else {
            let code = if is_older {
                ResultCode::NotReady
            } else {
                ResultCode::UnknownDatabase
            };
            return self.refuse_forwarded(id, code);
        };
        let identity = match forwarded.tenant {
            Some(tenant) => Identity::VerifiedByPeer(tenant),
            None => Identity::Anonymous,
        };
        let is_allowed = self
            .table
            .as_ref()
            .is_some_and(|table| identity.is_allowed(table, &route));
        if !is_allowed {
            return self.refuse_forwarded(id, ResultCode::NotAuthenticated);
        }
        let session = self.sessions.entry(id).or_insert_with(|| Session {
            is_forwarded: true,
            ..Session::new(forwarded.database.clone(), identity.clone())
        });
        // What its transaction's connection carries it keeps to.
        if !is_in_transaction {
            session.identity = identity;
        }
        session.values = forwarded.values;
        let time_left = forwarded.time_left;
        session.answer_due = Some(now + time_left.saturating_sub(REPLY_TRANSIT_ALLOWANCE));
        if let Some(commit) = forwarded.commit {
            session.commits.insert(route.service.clone(), commit);
        }
        let mut statement = forwarded.statement;
        if let (Some(prepared), StatementKind::Execute { name, .. }) =
            (forwarded.prepared, &mut statement.kind)
        {
            FORWARDED_NAME.clone_into(name);
            session.prepared.insert(FORWARDED_NAME.to_owned(), prepared);
        }
        self.enqueue_statement(now, id, Some(statement));
    }

    fn refuse_forwarded(&mut self, id: SessionId, code: ResultCode) {
        let response = Response {
            rows: Vec::new(),
            result: ResponseResult::Refused {
                code,
                retry_after: Some(RETRY_NO_HOLDER),
            },
            status: TransactionStatus::Idle,
            position: None,
        };
        self.effects.push(Effect::Respond {
            session: id,
            response,
        });
    }

    /// A holder answered a forwarded statement.
    pub(crate) fn forward_answered(
        &mut self,
        now: Time,
        holder: NodeId,
        id: SessionId,
        number: u64,
        response: Response,
    ) {
        self.holder_alive(now, holder);
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let Some(request) = &session.request else {
            return;
        };
        if request.number != RequestNumber(number) || request.stage != Stage::Forwarded(holder) {
            return;
        }
        let kind = request.kind;
        let route = Arc::clone(&request.route);
        let has_tenant = session.identity.tenant().is_some();
        self.clear_owed_request(holder, id);
        let is_outside_transaction = !matches!(
            kind,
            RequestKind::InTransaction { .. } | RequestKind::Commit
        );
        if has_tenant && is_stale_read_refusal(kind, &response) {
            return self.forward_to_leader_holder(now, id, response);
        }
        if is_outside_transaction && is_refused_by_holder(&response) {
            self.record(now, id, None, Decision::Retried);
            return self.forward(now, id);
        }
        if is_refused_by_holder(&response) {
            self.release_holder(id, holder);
            return self.fail_transaction(now, id);
        }
        let is_success = matches!(response.result, ResponseResult::Completed { .. });
        let may_have_written = matches!(kind, RequestKind::Write | RequestKind::Commit);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let (true, true, Some(position)) = (is_success, may_have_written, response.position) {
            session.commits.insert(route.service.clone(), position);
        }
        session.apply_forwarded_status(holder, route, kind, response.status);
        let status = session.status();
        if status == TransactionStatus::Failed {
            self.release_holder(id, holder);
        }
        self.finish(now, id, Response { status, ..response });
    }

    /// A holder's copy was behind what a read must see: the read goes on to a holder beside the leader, once.
    fn forward_to_leader_holder(&mut self, now: Time, id: SessionId, response: Response) {
        let Some(request) = self.sessions.get_mut(&id).and_then(|s| s.request.as_mut()) else {
            return;
        };
        let already_needed_leader_holder =
            std::mem::replace(&mut request.needs_leader_holder, true);
        let may_go_on = !already_needed_leader_holder
            && request.tried_holders.len() < MAX_HOLDERS_PER_REQUEST
            && now < request.deadline;
        if !may_go_on {
            return self.finish(now, id, response);
        }
        self.record(now, id, None, Decision::Retried);
        self.forward(now, id);
    }

    /// The connection to a holder has ended: what it had is lost.
    pub(crate) fn holder_lost(&mut self, now: Time, holder: NodeId) {
        self.clear_owed(holder);
        let concerned: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.holders.contains(&holder))
            .map(|(id, _)| *id)
            .collect();
        for id in concerned {
            self.session_holder_lost(now, id, holder);
        }
    }

    fn session_holder_lost(&mut self, now: Time, id: SessionId, holder: NodeId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.holders.remove(&holder);
        let is_bound =
            matches!(&session.transaction, Transaction::Forwarded(t) if t.holder == holder);
        let request = session.request.as_ref();
        let kind = request
            .filter(|request| request.stage == Stage::Forwarded(holder))
            .map(|request| request.kind);
        match kind {
            None if is_bound => session.transaction = Transaction::Failed { is_reported: false },
            None => {}
            Some(RequestKind::InTransaction { .. }) => self.fail_transaction(now, id),
            Some(RequestKind::Commit) => self.fail_commit(now, id, ResultCode::OwnerLostAfterSend),
            Some(RequestKind::Write) => {
                self.finish_unknown(now, id, ResultCode::OwnerLostAfterSend)
            }
            Some(_) => self.forward(now, id),
        }
    }

    /// A holder's part of a session is over: what it may still do for it counts no more.
    pub(crate) fn release_holder(&mut self, id: SessionId, holder: NodeId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.holders.remove(&holder);
        }
        self.close_forwarded(id, &[holder].into());
    }

    /// Tells the holders that a session has ended.
    pub(crate) fn close_forwarded(&mut self, id: SessionId, holders: &BTreeSet<NodeId>) {
        for holder in holders {
            self.clear_owed_request(*holder, id);
            self.effects.push(Effect::CloseForwardedSession {
                holder: *holder,
                session: id,
            });
        }
    }
}

/// Whether a read was refused since the copies beside its holder are behind.
fn is_stale_read_refusal(kind: RequestKind, response: &Response) -> bool {
    let is_fresh = matches!(kind, RequestKind::FreshRead | RequestKind::FreshTransaction);
    let is_behind = matches!(
        response.result,
        ResponseResult::Refused {
            code: ResultCode::NotFreshEnough,
            ..
        }
    );
    is_fresh && is_behind
}

/// Whether a holder did not take the statement at all, so that another may.
fn is_refused_by_holder(response: &Response) -> bool {
    matches!(
        response.result,
        ResponseResult::Refused {
            code: ResultCode::NotReady
                | ResultCode::NotOwner
                | ResultCode::ProxyStopping
                | ResultCode::UnknownDatabase,
            ..
        }
    )
}

impl Session {
    /// Follows what a holder's answer says of the transaction.
    fn apply_forwarded_status(
        &mut self,
        holder: NodeId,
        route: Arc<Route>,
        kind: RequestKind,
        status: TransactionStatus,
    ) {
        let begins = matches!(
            kind,
            RequestKind::LeaderTransaction | RequestKind::FreshTransaction
        );
        match status {
            TransactionStatus::Open if begins => {
                self.transaction = Transaction::Forwarded(ForwardedTransaction {
                    holder,
                    route,
                    wrote: false,
                });
            }
            TransactionStatus::Open => {}
            TransactionStatus::Failed => {
                self.transaction = Transaction::Failed { is_reported: true }
            }
            TransactionStatus::Idle => self.transaction = Transaction::None,
        }
    }
}
