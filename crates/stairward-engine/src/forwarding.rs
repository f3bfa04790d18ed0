//! Forwarding of statements to a holder of the back ends' connections, together with the session state that
//! they need. The session itself stays on its client's node.

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

/// Maximum number of holders to which one request is forwarded.
const MAX_HOLDERS_PER_REQUEST: usize = 3;
/// Retry delay for callers whose statement no holder accepted.
const RETRY_NO_HOLDER: Duration = Duration::from_millis(300);
/// Upper bound of an answer's way back to the session's node: a crossing between two regions, and the
/// scheduling delay of a busy node. A holder that has not sent a statement by then refuses it while the
/// refusal still arrives in time; later the session's node could not tell whether the statement ran.
const REPLY_TRANSIT_ALLOWANCE: Duration = Duration::from_millis(60);
/// The name under which a holder stores the prepared statement of a forwarded request.
const FORWARDED_NAME: &str = "forwarded";

/// A statement for another node to run, with the session state that it needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// The database requested by the session.
    pub database: GroupId,
    /// The configuration revision in force at the session's node.
    pub revision: Revision,
    /// The client's tenant, verified by the session's node; none on a public route or if tenants are not
    /// distinguished.
    pub tenant: Option<TenantName>,
    /// Whether the session has an open transaction at the holder.
    pub in_transaction: bool,
    /// The session's values.
    pub values: BTreeMap<String, String>,
    /// The prepared statement to execute, if any.
    pub prepared: Option<PreparedStatement>,
    /// The session's newest commit on the service.
    pub commit: Option<Freshness>,
    /// The statement.
    pub statement: Statement,
    /// How long the session's node still waits for the answer.
    pub time_left: Duration,
}

impl Engine {
    /// Applies a change of the holders of services. Idle connections of services now held by other nodes are
    /// closed.
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

    /// Forwards the session's request to the holder of its transaction, or to the next-ranked holder.
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

    /// The next holder for the session's request. Silent holders are used only if no other is left.
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

    /// Handles a statement forwarded by another node, for a session that is numbered locally.
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
            // The forwarding node has given up the transaction, so it ends here too.
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
        // An open transaction keeps the identity for which its connection was opened.
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

    /// Handles a holder's answer to a forwarded statement.
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

    /// The holder's back ends lagged behind the read's floor: forwards it once more, to a holder in the
    /// leader's zone.
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

    /// The connection to a holder has ended; its pending requests and open transactions are lost.
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

    /// Ends a session at a holder; anything the holder still does for it is disregarded.
    pub(crate) fn release_holder(&mut self, id: SessionId, holder: NodeId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.holders.remove(&holder);
        }
        self.close_forwarded(id, &[holder].into());
    }

    /// Tells holders that a session has ended.
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

/// Whether a holder refused a read because the back ends in its zone lag behind.
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

/// Whether a holder refused the statement for reasons of its own, so that another holder may accept it.
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
    /// Updates the transaction from the status in a holder's answer.
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
