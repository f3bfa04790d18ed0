//! Connections, commands and replication of databases, and queries to them and between nodes.

use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{BackendCommand, ConnectionId, Event, OpenFailure};
use stairward_failover::{Event as FailoverEvent, MemberCallResult, MemberStatus, Via};
use stairward_types::{BackendId, BackendRole, NodeId, TenantName, Time};

use crate::checker::Invariant;
use crate::database::{ConnectionKey, ConnectionState};
use crate::options::BrokenVariant;
use crate::replies::ReplyInTransit;
use crate::world::{
    AwaitedCommit, FAR_DELAY, MIN_CONNECTED_TIME, MemberQuery, NEAR_DELAY, NORMAL_LAG,
    REPLICATION_TICK, SimulationEvent, World,
};

/// How long a node waits for an unreachable member.
pub(crate) const MEMBER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a member that has not received enough is checked again, and the mean number of such checks.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(15);
const MEAN_RECEIVED_CHECKS: u32 = 20;

/// The result of a call to a member; `was_primary` says whether it was the primary before the call.
fn call_result(was_primary: bool, status: MemberStatus) -> MemberCallResult {
    if was_primary && status.role == BackendRole::Replica {
        MemberCallResult::GaveWay(status)
    } else {
        MemberCallResult::Answered(status)
    }
}

impl World {
    pub(crate) fn can_reach(&self, node: usize, backend: &BackendId) -> bool {
        let is_cut = self.partitions.contains(&(node, backend.clone()));
        let is_silent = self
            .group
            .databases
            .get(backend)
            .is_none_or(|database| database.is_silent);
        !is_cut && !is_silent
    }

    pub(crate) fn open_connection(
        &mut self,
        node: usize,
        incarnation: u64,
        connection: ConnectionId,
        backend: &BackendId,
        tenant: Option<TenantName>,
    ) {
        if !self.is_running(node, incarnation) {
            return;
        }
        let delay = self.delay(node, backend);
        let connection_key = ConnectionKey {
            incarnation,
            connection,
        };
        if !self.can_reach(node, backend) {
            let failed = Event::OpenFailed {
                connection,
                failure: OpenFailure::TimedOut,
            };
            let failed = SimulationEvent::Engine(node, incarnation, Box::new(failed));
            return self.queue.schedule(Duration::from_secs(1), failed);
        }
        let Some(database) = self.group.databases.get_mut(backend) else {
            return;
        };
        let event = if !database.is_alive {
            Event::OpenFailed {
                connection,
                failure: OpenFailure::Refused,
            }
        } else if database.connections.len() >= database.connection_limit {
            Event::OpenFailed {
                connection,
                failure: OpenFailure::ConnectionLimit,
            }
        } else {
            let state = ConnectionState {
                tenant,
                ..ConnectionState::default()
            };
            database.connections.insert(connection_key, state);
            Event::ConnectionOpened {
                connection,
                position: Some(database.position()),
            }
        };
        self.queue.schedule(
            delay,
            SimulationEvent::Engine(node, incarnation, Box::new(event)),
        );
    }

    pub(crate) fn run_command(
        &mut self,
        node: usize,
        connection_key: ConnectionKey,
        backend: &BackendId,
        command: &BackendCommand,
    ) {
        if !self.can_reach(node, backend) {
            self.stalled.insert(connection_key);
        }
        if self.stalled.contains(&connection_key)
            || self.is_postponed(backend, connection_key, command)
        {
            return;
        }
        self.check_leaving(node, backend, command);
        self.check_evacuated(node, backend, command);
        self.check_cold(node, backend, command);
        let now = self.now();
        let is_busy = self.is_refused_as_busy(command);
        let Some(database) = self.group.databases.get_mut(backend) else {
            return;
        };
        if !database.is_alive || !database.connections.contains_key(&connection_key) {
            return;
        }
        let outcome = if is_busy {
            database.refuse_as_busy(connection_key)
        } else {
            database.run(connection_key, command)
        };
        if let Some(entry) = &outcome.committed {
            self.checker.record_commit(now, entry);
        }
        if let Some(executed) = &outcome.executed {
            self.checker.record_executed(now, database, executed);
            let state = database.connections.get(&connection_key);
            let connection_tenant = state.and_then(|state| state.tenant.clone());
            self.check_tenant(&executed.id, connection_tenant.as_ref());
        }
        let is_lost = outcome.executed.is_some()
            && self.random.random_range(0..100) < self.response_loss_percent;
        if is_lost {
            self.stalled.insert(connection_key);
            return;
        }
        let work = if outcome.executed.is_some() { 8 } else { 0 };
        let delay = self.delay(node, backend) + Duration::from_millis(work);
        let mut reply = outcome.reply;
        if self.options.broken == Some(BrokenVariant::IgnoredRevocation)
            && let Some(member) = &mut reply.member
        {
            member.held = stairward_types::Term(0);
        }
        let reply = ReplyInTransit {
            node,
            connection: connection_key,
            backend: backend.clone(),
            reply,
        };
        match outcome.committed {
            Some(entry) if self.options.synchronous_replicas > 0 => {
                let commit = AwaitedCommit {
                    connection: connection_key,
                    committer: backend.clone(),
                    entry,
                    delay,
                };
                self.set_awaits_replicas(&reply, true);
                self.wait_for_replicas(commit, reply);
            }
            _ => self.send_reply(delay, reply),
        }
    }

    /// Sends the response to a commit once enough replicas have received it. Until then the connection
    /// returns nothing; if the commit is lost, it never does.
    pub(crate) fn wait_for_replicas(&mut self, commit: AwaitedCommit, reply: ReplyInTransit) {
        let replicas = self.options.synchronous_replicas;
        if self
            .group
            .is_replicated(&commit.committer, &commit.entry, replicas)
        {
            self.send_reply(commit.delay, reply.clone());
            return self.set_awaits_replicas(&reply, false);
        }
        let is_over = self.stalled.contains(&commit.connection)
            || !self
                .group
                .databases
                .values()
                .any(|database| database.log.contains(&commit.entry));
        if is_over {
            self.stalled.insert(commit.connection);
            return;
        }
        let retry = SimulationEvent::AwaitReplicas(commit, Box::new(reply));
        self.queue.schedule(REPLICATION_TICK, retry);
    }

    /// Checks that no single statement and no first statement of a transaction reaches a back end that has
    /// been leaving for longer than the drain limit.
    pub(crate) fn check_leaving(
        &mut self,
        node: usize,
        backend: &BackendId,
        command: &BackendCommand,
    ) {
        let is_new = matches!(
            command,
            BackendCommand::Run { .. }
                | BackendCommand::Execute { .. }
                | BackendCommand::Begin { .. }
        );
        let now = self.now();
        let is_connected = now >= self.nodes[node].connected_since + MIN_CONNECTED_TIME;
        let leaving_since = self
            .group
            .databases
            .get(backend)
            .and_then(|database| database.leaving_since);
        if let Some(since) = leaving_since
            && is_new
            && is_connected
        {
            self.checker.count(Invariant::Leaving);
            // The limit counts from when the store accepted the announcement, which it only does while it is
            // available.
            let since = self.store.accepted_at(since);
            if now > since + self.options.drain_limit {
                let text =
                    format!("{backend}, leaving since {since:?}, received new work of node {node}");
                self.checker.record_violation(now, Invariant::Leaving, text);
            }
        }
    }

    pub(crate) fn replicate(&mut self) {
        let now = self.now();
        self.queue
            .schedule(REPLICATION_TICK, SimulationEvent::Replicate);
        self.group.replicate(now, NORMAL_LAG);
        let rolled_back = self.group.demote_old_primaries(now);
        self.checker.record_rollback(&rolled_back);
    }

    /// A member's response to a query; `None` if it cannot be reached.
    fn answer_query(
        &mut self,
        node: usize,
        backend: &BackendId,
        query: MemberQuery,
    ) -> Option<MemberStatus> {
        let can_reach = self.can_reach(node, backend);
        let database = self.group.databases.get_mut(backend)?;
        if !can_reach || !database.is_alive {
            return None;
        }
        match query {
            MemberQuery::Status | MemberQuery::Received(_) => {}
            MemberQuery::Hold(term) => database.hold(term),
            MemberQuery::Resume => database.resume(),
            MemberQuery::StepDown(term) => database.step_down(term),
        }
        let status = database.status();
        if matches!(query, MemberQuery::StepDown(_)) && self.group.listed.contains_key(backend) {
            // A database announces a change of its role immediately.
            self.group.announce(backend);
            self.notify_all_nodes();
        }
        Some(status)
    }

    pub(crate) fn query_member(
        &mut self,
        node: usize,
        incarnation: u64,
        backend: &BackendId,
        query: MemberQuery,
    ) {
        if !self.is_running(node, incarnation) {
            return;
        }
        let status = self.answer_query(node, backend, query);
        if query == MemberQuery::Resume {
            return;
        }
        if let (MemberQuery::Received(all), Some(status)) = (query, status)
            && !status.received.covers(all)
            && self.random.random_range(0..MEAN_RECEIVED_CHECKS) > 0
        {
            let again = SimulationEvent::QueryMember(node, incarnation, backend.clone(), query);
            return self.queue.schedule(RETRY_PAUSE, again);
        }
        let delay = if status.is_some() {
            self.delay(node, backend)
        } else {
            MEMBER_TIMEOUT
        };
        let event = FailoverEvent::StatusReply(backend.clone(), status);
        self.queue.schedule(
            delay,
            SimulationEvent::Failover(node, incarnation, Box::new(event)),
        );
    }

    /// A node checks a back end that another node reports as unresponsive, and tells that node if it agrees.
    pub(crate) fn verify_backend(
        &mut self,
        node: usize,
        incarnation: u64,
        backend: &BackendId,
        asker: NodeId,
    ) {
        let responds = self
            .answer_query(node, backend, MemberQuery::Status)
            .is_some();
        let asker_index = usize::try_from(asker.0).unwrap_or(0);
        if responds || !self.is_running(node, incarnation) || asker_index >= self.nodes.len() {
            return;
        }
        let found = FailoverEvent::FoundSilent(backend.clone());
        self.queue.schedule(
            MEMBER_TIMEOUT,
            SimulationEvent::Failover(node, incarnation, Box::new(found)),
        );
        let own_id = NodeId(u64::try_from(node).unwrap_or(0));
        let verified = FailoverEvent::Verified(own_id, backend.clone());
        let asker_incarnation = self.nodes[asker_index].incarnation;
        self.queue.schedule(
            MEMBER_TIMEOUT,
            SimulationEvent::Failover(asker_index, asker_incarnation, Box::new(verified)),
        );
    }

    /// A member is asked to step down or to hold, by the node itself or through a peer.
    pub(crate) fn call_member(
        &mut self,
        node: usize,
        incarnation: u64,
        backend: &BackendId,
        query: MemberQuery,
        via: &Via,
    ) {
        if !self.is_running(node, incarnation) {
            return;
        }
        let calling_node = match via {
            Via::Direct => node,
            Via::Peer(peer) => usize::try_from(peer.0).unwrap_or(0),
        };
        let now = self.now();
        let can_call =
            self.nodes[calling_node].is_running && now >= self.nodes[calling_node].paused_until;
        let is_assumed = self.options.broken == Some(BrokenVariant::NoStepDown)
            && matches!(query, MemberQuery::StepDown(_));
        let is_alive = self.group.databases[backend].is_alive;
        let can_reach = can_call && self.can_reach(calling_node, backend);
        let result = if is_assumed {
            let mut status = self.group.databases[backend].status();
            status.role = BackendRole::Replica;
            MemberCallResult::GaveWay(status)
        } else if !can_reach {
            MemberCallResult::Silent
        } else if !is_alive {
            MemberCallResult::Refused
        } else {
            let was_primary = self.group.databases[backend].role == BackendRole::Primary;
            let status = self.answer_query(calling_node, backend, query);
            let is_lost = self.random.random_range(0..100) < self.response_loss_percent;
            status
                .filter(|_| !is_lost)
                .map_or(MemberCallResult::Silent, |status| {
                    call_result(was_primary, status)
                })
        };
        let delay = if result == MemberCallResult::Silent {
            MEMBER_TIMEOUT
        } else {
            FAR_DELAY
        };
        let event = FailoverEvent::MemberCallEnded(backend.clone(), via.clone(), result);
        self.queue.schedule(
            delay,
            SimulationEvent::Failover(node, incarnation, Box::new(event)),
        );
    }

    /// A node is asked what it knows of a service's leadership.
    pub(crate) fn query_peer_leadership(
        &mut self,
        node: usize,
        incarnation: u64,
        peer: usize,
        asked_at: Time,
    ) {
        let now = self.now();
        let asked = &self.nodes[peer];
        if !asked.is_running || now < asked.paused_until {
            return;
        }
        let service = crate::group::service();
        let peer_incarnation = asked.incarnation;
        self.handle_engine_event(
            peer,
            peer_incarnation,
            Event::LeadershipQueried(service.clone()),
        );
        if let Some((possible_term, age)) = self.nodes[peer].engine.known_leadership(now, &service)
        {
            let event = Event::PeerLeadership {
                service,
                possible_term,
                asked_at,
                age,
            };
            let event = SimulationEvent::Engine(node, incarnation, Box::new(event));
            self.queue.schedule(NEAR_DELAY, event);
        }
    }

    /// A peer returns the leader position that it knows and the age of that position by its own clock.
    pub(crate) fn query_peer_position(
        &mut self,
        node: usize,
        incarnation: u64,
        peer: usize,
        asked_at: Time,
    ) {
        let now = self.now();
        let asked = &self.nodes[peer];
        if !asked.is_running || now < asked.paused_until {
            return;
        }
        let service = crate::group::service();
        if let Some((freshness, age)) = asked.engine.proved_position(now, &service) {
            let event = Event::PeerPosition {
                service,
                freshness,
                asked_at,
                age,
            };
            let event = SimulationEvent::Engine(node, incarnation, Box::new(event));
            self.queue.schedule(FAR_DELAY, event);
        }
    }

    pub(crate) fn complete_promotion(&mut self, backend: &BackendId) {
        let is_alive = self
            .group
            .databases
            .get(backend)
            .is_some_and(|database| database.is_alive);
        let is_already_primary = self.group.primary() == Some(backend);
        if !is_alive || is_already_primary {
            return;
        }
        self.promotions += 1;
        let rolled_back = self.group.promote(backend);
        let term = self.group.databases[backend].term;
        let started_at = self.now();
        self.checker.record_term_start(started_at, term);
        self.check_stable_primary();
        self.decisions
            .push(format!("{started_at:?} {backend} is primary of {term:?}"));
        if self.options.synchronous_replicas > 0 {
            let now = self.now();
            self.checker.check_kept(now, &rolled_back);
        }
        self.checker.record_rollback(&rolled_back);
        let ids: Vec<_> = self.group.databases.keys().cloned().collect();
        for id in ids {
            if self.group.listed.contains_key(&id) {
                self.group.announce(&id);
            }
        }
        self.notify_all_nodes();
    }
}
