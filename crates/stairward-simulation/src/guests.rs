//! Sessions whose statements other nodes run: the links between nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{Event, ForwardedRequest, HolderSizing, Response, SessionId};
use stairward_types::NodeId;

use crate::world::{FAR_DELAY, SimulationEvent, World};

/// One in so many signs of life is lost.
const PING_LOSS_ONE_IN: u32 = 3;
/// Numbers of guests begin here, above all callers' sessions.
const FIRST_FORWARDED_SESSION: u64 = 1 << 40;

/// A node in one of its lives.
type NodeIncarnation = (usize, u64);

/// A session at the node that its caller is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Origin {
    node: NodeIncarnation,
    session: SessionId,
}

/// Sessions that run elsewhere than where their callers are connected.
#[derive(Debug, Default)]
pub(crate) struct ForwardedSessions {
    by_origin: BTreeMap<(NodeIncarnation, Origin), SessionId>,
    by_session: BTreeMap<SessionId, (Origin, NodeIncarnation, u64)>,
    last: u64,
}

impl World {
    /// The holders that a node must forward to; none where it holds connections itself.
    pub(crate) fn forward_targets_for(&self, node: usize) -> Vec<NodeId> {
        let demand = HolderSizing {
            connections: self.options.connections,
            slots: None,
            zones: 0,
        };
        let count = usize::try_from(demand.holder_count()).unwrap_or(1);
        if self.nodes.len() <= count || node < count {
            return Vec::new();
        }
        let holders = (0..count).map(|holder| NodeId(u64::try_from(holder).unwrap_or(0)));
        holders.collect()
    }

    pub(crate) fn forward(
        &mut self,
        node: usize,
        incarnation: u64,
        holder: NodeId,
        session: SessionId,
        request: u64,
        forwarded: ForwardedRequest,
    ) {
        let place = usize::try_from(holder.0).unwrap_or(0);
        let holder_incarnation = self.nodes[place].incarnation;
        if !self.nodes[place].is_running {
            return self.queue.schedule(
                FAR_DELAY,
                SimulationEvent::LinkLost(node, incarnation, holder),
            );
        }
        let origin = Origin {
            node: (node, incarnation),
            session,
        };
        let key = ((place, holder_incarnation), origin);
        let known = self.guests.by_origin.get(&key).copied();
        let own = known.unwrap_or_else(|| {
            self.guests.last += 1;
            SessionId(FIRST_FORWARDED_SESSION + self.guests.last)
        });
        self.guests.by_origin.insert(key, own);
        self.guests
            .by_session
            .insert(own, (origin, (place, holder_incarnation), request));
        let event = Event::ForwardedRequest {
            session: own,
            forwarded: Box::new(forwarded),
        };
        let event = SimulationEvent::Engine(place, holder_incarnation, Box::new(event));
        self.queue.schedule(FAR_DELAY, event);
    }

    /// Sends an answer to the node that its session is at; gives it back when it is a caller's.
    pub(crate) fn answer_forwarded(
        &mut self,
        own: SessionId,
        response: Response,
    ) -> Option<Response> {
        if own.0 < FIRST_FORWARDED_SESSION {
            return Some(response);
        }
        let (origin, (holder, _), request) = self.guests.by_session.get(&own).copied()?;
        let event = Event::ForwardAnswered {
            holder: NodeId(u64::try_from(holder).unwrap_or(0)),
            session: origin.session,
            request,
            response,
        };
        let (node, incarnation) = origin.node;
        let event = SimulationEvent::Engine(node, incarnation, Box::new(event));
        self.queue.schedule(FAR_DELAY, event);
        None
    }

    pub(crate) fn close_forwarded(
        &mut self,
        node: usize,
        incarnation: u64,
        holder: NodeId,
        session: SessionId,
    ) {
        let place = usize::try_from(holder.0).unwrap_or(0);
        let holder_incarnation = self.nodes[place].incarnation;
        let origin = Origin {
            node: (node, incarnation),
            session,
        };
        let own = self
            .guests
            .by_origin
            .remove(&((place, holder_incarnation), origin));
        if let Some(own) = own {
            self.close_forwarded_session(own, (place, holder_incarnation), FAR_DELAY);
        }
    }

    /// Asks a holder for a sign of life, which is lost now and then.
    pub(crate) fn ping_holder(&mut self, node: usize, incarnation: u64, holder: NodeId) {
        let place = usize::try_from(holder.0).unwrap_or(0);
        // One that does not run is silent; that its connection has ended is told by `links_lost`.
        if self.nodes[place].is_running && self.random.random_range(0..PING_LOSS_ONE_IN) > 0 {
            let event = Event::HolderAlive(holder);
            let sign = SimulationEvent::Engine(node, incarnation, Box::new(event));
            self.queue.schedule(FAR_DELAY * 2, sign);
        }
    }

    fn close_forwarded_sessions(&mut self, is_lost: impl Fn(&(NodeIncarnation, Origin)) -> bool) {
        let keys = self.guests.by_origin.keys().copied();
        let lost: Vec<_> = keys.filter(is_lost).collect();
        for key in lost {
            if let Some(own) = self.guests.by_origin.remove(&key) {
                let (holder, _) = key;
                self.close_forwarded_session(own, holder, FAR_DELAY);
            }
        }
    }

    fn close_forwarded_session(
        &mut self,
        own: SessionId,
        holder: NodeIncarnation,
        delay: Duration,
    ) {
        self.guests.by_session.remove(&own);
        let closed = Event::SessionClosed { session: own };
        let closed = SimulationEvent::Engine(holder.0, holder.1, Box::new(closed));
        self.queue.schedule(delay, closed);
    }

    /// A node finds that its link to another has ended: what it had forwarded there is undone, also what the other
    /// one, back in a new life, took since.
    pub(crate) fn link_lost(&mut self, node: usize, incarnation: u64, holder: NodeId) {
        let place = usize::try_from(holder.0).unwrap_or(0);
        self.close_forwarded_sessions(|(held_by, origin)| {
            held_by.0 == place && origin.node == (node, incarnation)
        });
        if self.is_running(node, incarnation) {
            self.handle_engine_event(node, incarnation, Event::HolderLost(holder));
        }
    }

    /// A node's process has ended: its guests are lost, and what it had forwarded is undone.
    pub(crate) fn disconnect_node(&mut self, node: usize, incarnation: u64) {
        self.close_forwarded_sessions(|(holder, origin)| {
            *holder == (node, incarnation) || origin.node == (node, incarnation)
        });
        let gone = NodeId(u64::try_from(node).unwrap_or(0));
        for other in 0..self.nodes.len() {
            let other_incarnation = self.nodes[other].incarnation;
            let lost = SimulationEvent::LinkLost(other, other_incarnation, gone);
            self.queue.schedule(FAR_DELAY, lost);
        }
    }
}
