//! Runs the membership protocol over UDP and derives from its view how many nodes share the back ends and which of
//! them hold each service's connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use stairward_engine::{HolderSizing, RoutingTable, ServiceHolders, ServiceLimits};
use stairward_membership::{
    Effect, Event, MemberChange, Profile, SwimConfig, SwimMember, Version, decode, encode,
};
use stairward_protocol::ClusterKey;
use stairward_protocol::datagram::MAXIMUM_DATAGRAM_BYTES;
use stairward_types::{Incarnation, LogEvent, NodeId, RegionName, ServiceName, ZoneName};
use tokio::net::UdpSocket;

use crate::holders::LocalNode;
use crate::node::Node;
use crate::traffic::TrafficKind;
use crate::wire::Wire;

/// Interval between probes. A node failure only changes connection shares, so detection need not be fast.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between updates from the view, so that a burst of changes is applied at once.
const VIEW_INTERVAL: Duration = Duration::from_millis(500);
/// The first view is applied once it has not changed for this long. A starting fleet fills it within 0.3 s
/// (`fleetbench run`, 295 nodes); with an incomplete view a node would take on work that belongs to others.
const FIRST_VIEW_SETTLE_TIME: Duration = Duration::from_millis(100);
/// Interval at which the number of nodes is reported even if unchanged, so that a larger earlier number expires.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);

/// Identity and address of a node among its peers.
#[derive(Debug, Clone)]
pub struct PeerIdentity {
    /// Node id, stable across restarts of the process.
    pub node: NodeId,
    /// Listen address for peers, for both TCP and UDP.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Addresses of peers to join through; some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all nodes; packets and links without it are refused.
    pub key: ClusterKey,
}

/// Incarnation of this process, from the wall clock: it rises with every restart unless the clock is set back.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    Incarnation(u64::try_from(milliseconds).unwrap_or(0))
}

impl<W: Wire> Node<W> {
    /// Runs the membership protocol on a socket. Never returns.
    pub async fn run_membership(self: Rc<Self>, socket: UdpSocket) {
        let mut random: StdRng = rand::make_rng();
        let identity = &self.peer;
        let profile = Profile {
            node: identity.node,
            version: Version::first(incarnation()),
            address: identity.address,
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            leaving: false,
        };
        let config = SwimConfig {
            probe_interval: PROBE_INTERVAL,
            scale_suspicion_timeout: true,
            ..SwimConfig::default()
        };
        let now = self.now();
        let mut swim = SwimMember::new(profile, &identity.seeds, config, now, &mut random);
        let mut buffer = [0; MAXIMUM_DATAGRAM_BYTES + 1];
        let mut applied_at = now;
        let mut has_announced = false;
        let mut has_changed = false;
        let mut changed_at = now;
        let mut has_view = false;
        loop {
            let mut pause = swim.next_deadline().since(self.now());
            if !has_view {
                pause = pause.min(FIRST_VIEW_SETTLE_TIME);
            }
            let event = tokio::select! {
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => {
                        self.traffic.received(TrafficKind::Membership, length);
                        match decode(&buffer[..length], &identity.key) {
                            Ok(packet) => Event::Received { from, packet },
                            Err(_) => continue,
                        }
                    }
                    Err(_) => Event::Tick,
                },
                () = tokio::time::sleep(pause) => Event::Tick,
            };
            let now = self.now();
            let mut effects = swim.handle(now, event, &mut random);
            if self.is_stopping() && !std::mem::replace(&mut has_announced, true) {
                effects.extend(swim.handle(now, Event::LeaveAnnounced, &mut random));
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, packet } => {
                        if let Ok(bytes) = encode(&packet, &identity.key) {
                            self.traffic.sent(TrafficKind::Membership, bytes.len());
                            // A send error is treated like a lost datagram.
                            let _ = socket.try_send_to(&bytes, to);
                        }
                    }
                    Effect::ViewChanged => {
                        has_changed = true;
                        changed_at = now;
                    }
                    Effect::MemberChanged { node, change } => self.log_member(node, change),
                    Effect::PeerDigest { .. } | Effect::TermReceived(_) => {}
                }
            }
            let since_applied = now.since(applied_at);
            let has_settled = has_changed && now.since(changed_at) >= FIRST_VIEW_SETTLE_TIME;
            let is_due = if has_view {
                has_changed && since_applied >= VIEW_INTERVAL
            } else {
                has_settled || since_applied >= VIEW_INTERVAL
            };
            if is_due || since_applied >= COUNT_INTERVAL {
                has_view = true;
                has_changed = false;
                applied_at = now;
                self.set_members(swim.view().cloned().collect());
            }
        }
    }

    /// Whether a node is in the membership view.
    #[must_use]
    pub fn is_member(&self, node: NodeId) -> bool {
        self.members
            .borrow()
            .iter()
            .any(|member| member.node == node)
    }

    /// Applies a new membership view.
    fn set_members(self: &Rc<Self>, members: Vec<Profile>) {
        let count = members.iter().filter(|member| !member.leaving).count();
        let (leaving, live): (Vec<_>, Vec<_>) = members.iter().partition(|member| member.leaving);
        let numbers = |members: Vec<&Profile>| members.iter().map(|member| member.node).collect();
        let known = stairward_engine::Event::Members {
            live: numbers(live),
            leaving: numbers(leaving),
        };
        let has_changed = *self.members.borrow() != members;
        *self.members.borrow_mut() = members;
        if has_changed {
            self.choose_relay_peers();
            self.update_holders();
            self.update_feed_members();
        }
        self.handle(known);
        self.set_nodes(u32::try_from(count).unwrap_or(1));
        self.update_leader_users();
    }

    /// Updates the maximum number of holders of every configured service.
    pub(crate) fn set_services(self: &Rc<Self>, table: &RoutingTable) {
        let counts = table.services.iter().map(|(service, limits)| {
            let count = self.holder_demand(service, limits).holder_count();
            (
                service.clone(),
                usize::try_from(count).unwrap_or(usize::MAX),
            )
        });
        let counts = counts.collect();
        let changes = {
            let members = self.members.borrow();
            let mut holders = self.holders.borrow_mut();
            holders.set_services(&self.local_node(), &members, counts)
        };
        self.apply_holder_changes(changes);
    }

    /// Updates the maximum number of holders of services whose back ends changed.
    pub(crate) fn update_services(self: &Rc<Self>, services: &BTreeSet<ServiceName>) {
        let Some(table) = self.routing_table() else {
            return;
        };
        let configured = services
            .iter()
            .filter_map(|service| Some((service, table.services.get(service)?)));
        let counts: Vec<(ServiceName, usize)> = configured
            .map(|(service, limits)| {
                let count = self.holder_demand(service, limits).holder_count();
                (
                    service.clone(),
                    usize::try_from(count).unwrap_or(usize::MAX),
                )
            })
            .collect();
        let changes = {
            let members = self.members.borrow();
            let mut holders = self.holders.borrow_mut();
            holders.update_holder_counts(&self.local_node(), &members, counts)
        };
        self.apply_holder_changes(changes);
    }

    fn holder_demand(&self, service: &ServiceName, limits: &ServiceLimits) -> HolderSizing {
        HolderSizing {
            connections: limits.connections,
            slots: self.discovered.borrow().slots(service),
            zones: u32::try_from(self.zone_regions.len()).unwrap_or(u32::MAX),
        }
    }

    /// Recomputes the holders of each service from the membership view.
    fn update_holders(self: &Rc<Self>) {
        let (regions, changes) = {
            let members = self.members.borrow();
            let of_member = |member: &Profile| (member.node, member.region.clone());
            let regions = members.iter().map(of_member).collect();
            let mut holders = self.holders.borrow_mut();
            (regions, holders.set_members(&self.local_node(), &members))
        };
        self.handle(stairward_engine::Event::NodeRegions(regions));
        self.apply_holder_changes(changes);
    }

    fn local_node(&self) -> LocalNode {
        LocalNode {
            node: self.peer.node,
            region: self.peer.region.clone(),
            zone: self.peer.zone.clone(),
        }
    }

    /// Passes changed holders to the engine.
    fn apply_holder_changes(self: &Rc<Self>, changes: BTreeMap<ServiceName, ServiceHolders>) {
        if !changes.is_empty() {
            self.handle(stairward_engine::Event::HoldersChanged(changes));
        }
    }
}

impl<W: Wire> Node<W> {
    fn log_member(&self, node: NodeId, change: MemberChange) {
        let event = match change {
            MemberChange::Joined => LogEvent::MemberJoined,
            MemberChange::Failed => LogEvent::MemberFailed,
            MemberChange::Leaving | MemberChange::Left => LogEvent::MemberLeft,
            MemberChange::Suspected | MemberChange::Refuted => return,
        };
        self.log.backend(self.now(), event, &node.to_string());
    }
}
