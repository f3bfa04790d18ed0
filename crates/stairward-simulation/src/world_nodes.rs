//! Carries out the effects of nodes. Broken variants alter effects and events here.

use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{
    BackendCommand, BackendEvidence, ConnectionId, Effect, Event, LeadershipChange, Response,
};
use stairward_failover::{Event as FailoverEvent, LeaderEvidence};
use stairward_limits::GrantRequest;
use stairward_types::{BackendId, Freshness, LogPosition, NodeId};

use crate::checker::Invariant;
use crate::database::ConnectionKey;
use crate::nodes::configuration_number;
use crate::options::BrokenVariant;
use crate::tenants::tenant_name;
use crate::world::{
    CALLER_DELAY, FAR_DELAY, NEAR_DELAY, SimulationEvent, WRONG_CONNECTION_ONE_IN, World,
};

impl World {
    pub(crate) fn handle_engine_event(&mut self, index: usize, incarnation: u64, event: Event) {
        if !self.is_running(index, incarnation) {
            return;
        }
        let now = self.now();
        let event = self.corrupt_event(event);
        let event = self.hide_lost_log(index, event);
        let node = &mut self.nodes[index];
        let effects = node.engine.handle(now, event);
        if let Some(wake) = node.engine.next_wake()
            && (node.timer_at <= now || wake < node.timer_at)
        {
            node.timer_at = wake;
            self.queue
                .schedule_at(wake, SimulationEvent::EngineTimer(index, incarnation));
        }
        self.check_configuration_order(index);
        for effect in effects {
            self.apply_effect(index, incarnation, effect);
        }
    }

    /// The ignored-leaving variant does not see that back ends are leaving.
    pub(crate) fn corrupt_event(&self, mut event: Event) -> Event {
        if self.options.broken == Some(BrokenVariant::IgnoredLeaving)
            && let Event::BackendsListed { list, .. } = &mut event
        {
            for description in list {
                description.is_leaving = false;
            }
        }
        event
    }

    /// The hidden-lost-log variant does not see that a primary has lost its log.
    fn hide_lost_log(&self, index: usize, mut event: Event) -> Event {
        if self.options.broken == Some(BrokenVariant::HiddenLostLog)
            && let Event::ConnectionOpened {
                connection,
                position,
            } = &mut event
            && let Some(backend) = self.nodes[index].connections.get(connection)
            && self.group.primary() == Some(backend)
        {
            let databases = || self.group.databases.values();
            let term = databases().map(|database| database.term).max();
            let longest = databases().map(|database| database.log.len()).max();
            let longest = u64::try_from(longest.unwrap_or(0)).unwrap_or(u64::MAX);
            *position = Some(Freshness::new(
                term.unwrap_or_default(),
                LogPosition(longest),
            ));
        }
        event
    }

    pub(crate) fn check_configuration_order(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.nodes[index];
        let Some(table) = node.engine.routing_table() else {
            return;
        };
        let content = configuration_number(table);
        self.checker.count(Invariant::Configuration);
        if content < node.newest_configuration {
            let text = format!(
                "node {index} replaced configuration {} by the older {content}",
                node.newest_configuration
            );
            self.checker
                .record_violation(now, Invariant::Configuration, text);
        }
        node.newest_configuration = content;
    }

    pub(crate) fn apply_effect(&mut self, index: usize, incarnation: u64, effect: Effect) {
        match effect {
            Effect::AcceptSession { .. }
            | Effect::Record(_)
            | Effect::ReplyDoubted(_)
            | Effect::Measured(_)
            | Effect::HolderLivenessChanged { .. }
            | Effect::EvacuationObserved { .. }
            | Effect::LeavingObserved { .. }
            | Effect::RestartObserved { .. }
            | Effect::WarmUpObserved { .. }
            | Effect::RecordFleetSize(_)
            | Effect::CoordinatorChanged { .. }
            | Effect::Stopped => {}
            Effect::PingHolder { holder } => self.ping_holder(index, incarnation, holder),
            Effect::Forward {
                holder,
                session,
                request,
                forwarded,
            } => self.forward(index, incarnation, holder, session, request, forwarded),
            Effect::CloseForwardedSession { holder, session } => {
                self.close_forwarded(index, incarnation, holder, session);
            }
            Effect::LeadershipObserved {
                service,
                leader,
                change,
                term,
                awaited,
                ..
            } => {
                let now = self.now();
                let observation =
                    format!("{now:?} node-{index}: {leader} of {term:?} {change:?}, {awaited:?}");
                self.decisions.push(observation);
                let is_revoked = change == LeadershipChange::Revoked;
                self.handle_failover_event(
                    index,
                    incarnation,
                    FailoverEvent::LeadershipRevoked(service, is_revoked),
                );
            }
            Effect::QueryLeadership { holder, .. } => {
                let asked_at = self.now();
                let peer = usize::try_from(holder.0).unwrap_or(0);
                let ask = SimulationEvent::QueryPeerLeadership(index, incarnation, peer, asked_at);
                self.queue.schedule(NEAR_DELAY, ask);
            }
            Effect::RequestLimitGrant(coordinator, ask) => {
                let peer = usize::try_from(coordinator.0).unwrap_or(0);
                let ask =
                    SimulationEvent::RequestLimitGrant(index, incarnation, peer, Box::new(ask));
                self.queue.schedule(FAR_DELAY, ask);
            }
            Effect::QueryPosition { .. } => {
                let asked_at = self.now();
                let peer = (index + 1) % self.nodes.len();
                let ask = SimulationEvent::QueryPeerPosition(index, incarnation, peer, asked_at);
                self.queue.schedule(FAR_DELAY, ask);
            }
            Effect::RefuseSession { session, .. } | Effect::CloseSession { session } => {
                if let Some(caller) = self.caller_of(session) {
                    let cut = SimulationEvent::CallerDisconnected(caller, session.0);
                    self.queue.schedule(CALLER_DELAY, cut);
                }
            }
            Effect::Respond { session, response } => {
                let Some(response) = self.answer_forwarded(session, response) else {
                    return;
                };
                if let Some(caller) = self.caller_of(session) {
                    let response = self.corrupt_response(response);
                    let delivery =
                        SimulationEvent::CallerResponse(caller, session.0, Box::new(response));
                    self.queue.schedule(CALLER_DELAY, delivery);
                }
            }
            Effect::Open { connection, target } => {
                let delay = self.delay(index, &target.backend) * 2;
                self.nodes[index]
                    .connections
                    .insert(connection, target.backend.clone());
                let tenant = match self.options.broken {
                    Some(BrokenVariant::SharedTenantConnections) => {
                        target.tenant.map(|_| tenant_name(0))
                    }
                    _ => target.tenant,
                };
                let open = SimulationEvent::OpenConnection(
                    index,
                    incarnation,
                    connection,
                    target.backend,
                    tenant,
                );
                self.queue.schedule(delay, open);
            }
            Effect::Send {
                connection,
                command,
            } => self.send(index, incarnation, connection, command),
            Effect::CloseConnection { connection } => {
                if let Some(backend) = self.nodes[index].connections.remove(&connection) {
                    let delay = self.delay(index, &backend);
                    let connection_key = ConnectionKey {
                        incarnation,
                        connection,
                    };
                    self.queue.schedule(
                        delay,
                        SimulationEvent::CloseConnection(connection_key, backend),
                    );
                }
            }
            Effect::BackendObserved { backend, evidence } => {
                let evidence = match evidence {
                    BackendEvidence::Answered => LeaderEvidence::Answered,
                    BackendEvidence::Refused => LeaderEvidence::Refused,
                    BackendEvidence::Unresponsive => LeaderEvidence::Silent,
                    BackendEvidence::LostLog => LeaderEvidence::LostLog,
                    BackendEvidence::NotLeader | BackendEvidence::ConnectionLimitReached => return,
                };
                self.handle_failover_event(
                    index,
                    incarnation,
                    FailoverEvent::Evidence(backend, evidence),
                );
            }
        }
    }

    /// A running coordinator responds to a node's request for grants.
    pub(crate) fn request_limit_grant(
        &mut self,
        node: usize,
        incarnation: u64,
        peer: usize,
        ask: &GrantRequest,
    ) {
        let now = self.now();
        let asking = NodeId(u64::try_from(node).unwrap_or(0));
        let coordinator = NodeId(u64::try_from(peer).unwrap_or(0));
        let Some(answering) = self.nodes.get_mut(peer).filter(|peer| peer.is_running) else {
            return;
        };
        let mut grant = answering.engine.answer_limit(now, asking, ask);
        if self.options.broken == Some(BrokenVariant::UnlimitedGrants) {
            for (granted, want) in grant.granted.iter_mut().zip(&ask.demands) {
                granted.count = want.waiting + want.ahead;
                granted.unmet = 0;
            }
        }
        let granted = Event::LimitGranted(coordinator, grant);
        let granted = SimulationEvent::Engine(node, incarnation, Box::new(granted));
        self.queue.schedule(FAR_DELAY, granted);
    }

    pub(crate) fn corrupt_response(&mut self, mut response: Response) -> Response {
        if self.options.broken == Some(BrokenVariant::FalseNotRun)
            && let stairward_engine::ResponseResult::Refused { code, .. } = &mut response.result
            && code.class() == stairward_types::OutcomeClass::OutcomeUnknown
        {
            *code = stairward_types::ResultCode::BackendUnavailable;
        }
        response
    }

    pub(crate) fn send(
        &mut self,
        index: usize,
        incarnation: u64,
        connection: ConnectionId,
        command: BackendCommand,
    ) {
        let Some(backend) = self.nodes[index].connections.get(&connection).cloned() else {
            return;
        };
        let (connection, command) = self.corrupt_command(index, &backend, connection, command);
        let delay = self.delay(index, &backend);
        let connection_key = ConnectionKey {
            incarnation,
            connection,
        };
        if self.options.broken == Some(BrokenVariant::DuplicateWrite)
            && matches!(&command, BackendCommand::Run { text, .. } if text.starts_with("WRITE"))
        {
            let again = SimulationEvent::RunCommand(
                index,
                connection_key,
                backend.clone(),
                command.clone(),
            );
            self.queue.schedule(delay, again);
        }
        self.queue.schedule(
            delay,
            SimulationEvent::RunCommand(index, connection_key, backend, command),
        );
    }

    pub(crate) fn corrupt_command(
        &mut self,
        index: usize,
        backend: &BackendId,
        connection: ConnectionId,
        mut command: BackendCommand,
    ) -> (ConnectionId, BackendCommand) {
        match (self.options.broken, &mut command) {
            (
                Some(BrokenVariant::NoReadFloor),
                BackendCommand::Run { floor, .. }
                | BackendCommand::Execute { floor, .. }
                | BackendCommand::Begin { floor, .. },
            ) => *floor = None,
            (Some(BrokenVariant::NoLeaderCheck), BackendCommand::Begin { read_only, .. }) => {
                // Any replica accepts a read-only transaction, so that it proves no leadership.
                *read_only = true;
            }
            (Some(BrokenVariant::NoSessionReset), BackendCommand::Reset) => {
                command = BackendCommand::Rollback;
            }
            (Some(BrokenVariant::WrongConnection), BackendCommand::Run { .. })
                if self.random.random_range(0..WRONG_CONNECTION_ONE_IN) == 0 =>
            {
                let others = self.nodes[index].connections.iter();
                let other = others
                    .filter(|(other, of)| **other != connection && *of == backend)
                    .map(|(other, _)| *other)
                    .next();
                return (other.unwrap_or(connection), command);
            }
            _ => {}
        }
        (connection, command)
    }

    pub(crate) fn delay(&self, node: usize, backend: &BackendId) -> Duration {
        let zone = usize::from(backend.as_str().as_bytes()[3] - b'0');
        if node % 3 + 1 == zone {
            NEAR_DELAY
        } else {
            FAR_DELAY
        }
    }
}
