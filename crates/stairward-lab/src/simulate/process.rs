//! The proxies' processes: their lives, what they hear and what they do.

use std::net::SocketAddr;
use std::time::Duration;

use stairward_checker::HistoryEvent;
use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, NodeId, Time};

use super::caller::CallerSession;
use super::control::address_of;
use super::database::DatabaseRequest;
use super::message::{CallerConnection, CallerMessage, PeerMessage, ProxyMessage};
use super::outbox::{Action, Outbox, ProxyTimer};
use super::proxy::{ProxyInput, ProxyState};
use super::store::Reader;
use super::world::{World, WorldEvent};

/// A proxy and its process.
pub(super) struct ProxySlot {
    /// Its number in the fleet.
    pub node: NodeId,
    /// Counts the lives of its process.
    pub life: u64,
    /// The process; none while it is dead.
    pub state: Option<ProxyState>,
    /// What its clock shows at the start of the run.
    pub clock_offset: Duration,
    /// Until when it is paused.
    pub paused_until: Time,
    /// When a stopped or killed process comes back.
    pub returns_at: Time,
}

/// A connection between a proxy and a database.
#[derive(Debug, Clone, Copy)]
pub(super) struct DatabaseLink {
    pub proxy: usize,
    pub life: u64,
}

impl World<'_> {
    /// Starts a new life of a proxy's process.
    pub(super) fn start_proxy(&mut self, proxy: usize) {
        let seeds: Vec<SocketAddr> = self
            .proxies
            .iter()
            .map(|other| address_of(other.node))
            .collect();
        let now = self.queue.now();
        let identity = self.layout.proxies[proxy].0.clone();
        let node = identity.node;
        let slot = &mut self.proxies[proxy];
        slot.life += 1;
        slot.returns_at = Time::NEVER;
        let state = ProxyState::new(
            identity,
            slot.life,
            &seeds,
            self.options.policy,
            self.options.broken,
            now + slot.clock_offset,
            &mut self.random,
        );
        slot.state = Some(state);
        let life = slot.life;
        self.record(HistoryEvent::ProxyStarted { proxy: node });
        self.log(|| format!("proxy {node} starts, life {life}"));
        self.proxy_input(proxy, life, ProxyInput::Start);
    }

    /// A proxy's process is gone: its connections end.
    pub(super) fn end_proxy(&mut self, proxy: usize) {
        let slot = &mut self.proxies[proxy];
        if slot.state.take().is_none() {
            return;
        }
        let (life, node) = (slot.life, slot.node);
        let lost: Vec<(ConnectionNumber, BackendId)> = self
            .links
            .iter()
            .filter(|(_, (_, link))| link.proxy == proxy && link.life == life)
            .map(|(connection, (backend, _))| (*connection, backend.clone()))
            .collect();
        for (connection, backend) in lost {
            self.send_database(proxy, &backend, connection, DatabaseRequest::Close);
        }
        for other in 0..self.proxies.len() {
            if other != proxy {
                self.send_peer(proxy, self.proxies[other].node, PeerMessage::Closed);
            }
        }
        let sessions: Vec<CallerConnection> = self
            .callers
            .iter()
            .filter(|caller| caller.proxy == Some(proxy))
            .map(CallerSession::caller_connection)
            .collect();
        for connection in sessions {
            self.send_caller(proxy, connection, None, ProxyMessage::Lost);
        }
        self.log(|| format!("proxy {node} is gone"));
    }

    pub(super) fn proxy_input(&mut self, proxy: usize, life: u64, input: ProxyInput) {
        let now = self.queue.now();
        let slot = &mut self.proxies[proxy];
        if slot.life != life {
            return self.input_to_the_dead(proxy, input);
        }
        if slot.paused_until > now {
            let event = WorldEvent::Proxy(proxy, life, Box::new(input));
            return self.queue.at(self.proxies[proxy].paused_until, event);
        }
        if slot.state.is_none() {
            return self.input_to_the_dead(proxy, input);
        }
        if let ProxyInput::Caller(connection, _, message) = &input {
            self.note_servable(proxy, *connection, message);
        }
        let slot = &mut self.proxies[proxy];
        let Some(mut state) = slot.state.take() else {
            return;
        };
        let mut out = Outbox {
            now: now + slot.clock_offset,
            random: &mut self.random,
            next_connection: &mut self.next_connection,
            actions: Vec::new(),
            log: self.log.as_ref().map(|_| Vec::new()),
        };
        state.handle(input, &mut out);
        let Outbox { actions, log, .. } = out;
        self.proxies[proxy].state = Some(state);
        let node = self.proxies[proxy].node;
        for line in log.unwrap_or_default() {
            self.log(|| format!("proxy {node} {line}"));
        }
        for action in actions {
            self.act(proxy, life, action);
        }
    }

    /// What a dead process would have heard bounces.
    fn input_to_the_dead(&mut self, proxy: usize, input: ProxyInput) {
        match input {
            ProxyInput::Caller(connection, _, CallerMessage::Connect { .. }) => {
                self.send_caller(proxy, connection, None, ProxyMessage::Refused);
            }
            ProxyInput::Caller(connection, _, _) => {
                self.send_caller(proxy, connection, None, ProxyMessage::Lost);
            }
            ProxyInput::Peer(from, message)
                if !matches!(message, PeerMessage::Membership(_) | PeerMessage::Closed) =>
            {
                self.send_peer(proxy, from, PeerMessage::Closed);
            }
            _ => {}
        }
    }

    fn act(&mut self, proxy: usize, life: u64, action: Action) {
        match action {
            Action::Peer(to, message) => self.send_peer(proxy, to, message),
            Action::Database(backend, connection, request) => {
                if let DatabaseRequest::Open { .. } = request {
                    let link = DatabaseLink { proxy, life };
                    self.links.insert(connection, (backend.clone(), link));
                }
                self.send_database(proxy, &backend, connection, request);
            }
            Action::Caller(to, request, message) => {
                self.send_caller(proxy, to, request, message);
            }
            Action::Store(read, request) => {
                let reader = Reader { proxy, life, read };
                self.send_store(reader, request);
            }
            Action::Wake(at, timer) => {
                let at = at - self.proxies[proxy].clock_offset;
                self.wake_proxy(proxy, life, at, timer);
            }
            Action::Record(event) => self.record(event),
            Action::Exit => self.proxy_exits(proxy),
        }
    }

    fn wake_proxy(&mut self, proxy: usize, life: u64, at: Time, timer: ProxyTimer) {
        let input = ProxyInput::Timer(timer);
        self.queue
            .at(at, WorldEvent::Proxy(proxy, life, Box::new(input)));
    }

    /// The place of a proxy by its number.
    pub(super) fn proxy_at(&self, node: NodeId) -> Option<usize> {
        self.proxies.iter().position(|slot| slot.node == node)
    }
}
