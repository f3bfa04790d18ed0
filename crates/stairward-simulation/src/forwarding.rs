//! Sessions whose statements are forwarded to other nodes, and the connections between nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{Event, ForwardedRequest, HolderSizing, Response, SessionId};
use stairward_types::NodeId;

use crate::world::{FAR_DELAY, SimulationEvent, World};

/// One in this many pings is lost.
const PING_LOSS_ONE_IN: u32 = 3;
/// Ids of forwarded sessions start here, above the ids of all callers' sessions.
const FIRST_FORWARDED_SESSION: u64 = 1 << 40;

/// A node and its incarnation.
type NodeIncarnation = (usize, u64);

/// A session on the node that its caller is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Origin {
    node: NodeIncarnation,
    session: SessionId,
}

/// Forwarded sessions, by origin and by their id on the holder.
#[derive(Debug, Default)]
pub(crate) struct ForwardedSessions {
    by_origin: BTreeMap<(NodeIncarnation, Origin), SessionId>,
    by_session: BTreeMap<SessionId, (Origin, NodeIncarnation, u64)>,
    last_id: u64,
}

impl World {
    /// The holders that a node must forward to; empty if it holds connections itself.
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
        let holder_index = usize::try_from(holder.0).unwrap_or(0);
        let holder_incarnation = self.nodes[holder_index].incarnation;
        if !self.nodes[holder_index].is_running {
            return self.queue.schedule(
                FAR_DELAY,
                SimulationEvent::PeerDisconnected(node, incarnation, holder),
            );
        }
        let origin = Origin {
            node: (node, incarnation),
            session,
        };
        let key = ((holder_index, holder_incarnation), origin);
        let known = self.forwarded_sessions.by_origin.get(&key).copied();
        let session_id = known.unwrap_or_else(|| {
            self.forwarded_sessions.last_id += 1;
            SessionId(FIRST_FORWARDED_SESSION + self.forwarded_sessions.last_id)
        });
        self.forwarded_sessions.by_origin.insert(key, session_id);
        self.forwarded_sessions.by_session.insert(
            session_id,
            (origin, (holder_index, holder_incarnation), request),
        );
        let event = Event::ForwardedRequest {
            session: session_id,
            forwarded: Box::new(forwarded),
        };
        let event = SimulationEvent::Engine(holder_index, holder_incarnation, Box::new(event));
        self.queue.schedule(FAR_DELAY, event);
    }

    /// Sends a response to the node that forwarded the session. Returns the response if the session is not
    /// forwarded.
    pub(crate) fn answer_forwarded(
        &mut self,
        session_id: SessionId,
        response: Response,
    ) -> Option<Response> {
        if session_id.0 < FIRST_FORWARDED_SESSION {
            return Some(response);
        }
        let (origin, (holder, _), request) = self
            .forwarded_sessions
            .by_session
            .get(&session_id)
            .copied()?;
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
        let holder_index = usize::try_from(holder.0).unwrap_or(0);
        let holder_incarnation = self.nodes[holder_index].incarnation;
        let origin = Origin {
            node: (node, incarnation),
            session,
        };
        let session_id = self
            .forwarded_sessions
            .by_origin
            .remove(&((holder_index, holder_incarnation), origin));
        if let Some(session_id) = session_id {
            self.close_forwarded_session(session_id, (holder_index, holder_incarnation), FAR_DELAY);
        }
    }

    /// Pings a holder; some pings are lost.
    pub(crate) fn ping_holder(&mut self, node: usize, incarnation: u64, holder: NodeId) {
        let holder_index = usize::try_from(holder.0).unwrap_or(0);
        // A stopped node does not respond; `disconnect_node` reports that its connections have ended.
        if self.nodes[holder_index].is_running && self.random.random_range(0..PING_LOSS_ONE_IN) > 0
        {
            let event = Event::HolderAlive(holder);
            let pong = SimulationEvent::Engine(node, incarnation, Box::new(event));
            self.queue.schedule(FAR_DELAY * 2, pong);
        }
    }

    fn close_forwarded_sessions(&mut self, is_lost: impl Fn(&(NodeIncarnation, Origin)) -> bool) {
        let keys = self.forwarded_sessions.by_origin.keys().copied();
        let lost: Vec<_> = keys.filter(is_lost).collect();
        for key in lost {
            if let Some(session_id) = self.forwarded_sessions.by_origin.remove(&key) {
                let (holder, _) = key;
                self.close_forwarded_session(session_id, holder, FAR_DELAY);
            }
        }
    }

    fn close_forwarded_session(
        &mut self,
        session_id: SessionId,
        holder: NodeIncarnation,
        delay: Duration,
    ) {
        self.forwarded_sessions.by_session.remove(&session_id);
        let closed = Event::SessionClosed {
            session: session_id,
        };
        let closed = SimulationEvent::Engine(holder.0, holder.1, Box::new(closed));
        self.queue.schedule(delay, closed);
    }

    /// A node detects that its connection to a holder has ended, and the sessions that it forwarded there are
    /// closed. That includes sessions that a restarted holder has accepted since.
    pub(crate) fn peer_disconnected(&mut self, node: usize, incarnation: u64, holder: NodeId) {
        let holder_index = usize::try_from(holder.0).unwrap_or(0);
        self.close_forwarded_sessions(|(held_by, origin)| {
            held_by.0 == holder_index && origin.node == (node, incarnation)
        });
        if self.is_running(node, incarnation) {
            self.handle_engine_event(node, incarnation, Event::HolderLost(holder));
        }
    }

    /// Closes the sessions that a stopped node held for others, and those that it had forwarded.
    pub(crate) fn disconnect_node(&mut self, node: usize, incarnation: u64) {
        self.close_forwarded_sessions(|(holder, origin)| {
            *holder == (node, incarnation) || origin.node == (node, incarnation)
        });
        let gone = NodeId(u64::try_from(node).unwrap_or(0));
        for other in 0..self.nodes.len() {
            let other_incarnation = self.nodes[other].incarnation;
            let lost = SimulationEvent::PeerDisconnected(other, other_incarnation, gone);
            self.queue.schedule(FAR_DELAY, lost);
        }
    }
}
