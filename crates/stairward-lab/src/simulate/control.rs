//! Membership of a simulated proxy: drives the real membership decisions.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use stairward_membership::configuration::{
    ConfigurationDisseminator, DisseminationParameters, Event as SpreadEvent, PeerLocation,
};
use stairward_membership::{
    Candidate, Effect, Event, Packet, Profile, Ranking, SwimConfig, SwimMember, TermUpdate,
    Version, rank_owners,
};
use stairward_settings::{ResolvedSettings, SettingsDocument};
use stairward_types::{BackendId, Incarnation, NodeId, RegionName, Revision, Time, ZoneName};

use super::message::PeerMessage;
use super::outbox::{Outbox, ProxyTimer};
use super::proxy::ProxyState;
use super::random::Random;

/// The port in the made-up addresses of proxies.
const PORT: u16 = 7000;
/// Least time between two wake-ups for membership.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);

/// Who a proxy is.
#[derive(Debug, Clone)]
pub(super) struct ProxyIdentity {
    /// Its number.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// The made-up address of a proxy.
pub(super) fn address_of(node: NodeId) -> SocketAddr {
    let number = u8::try_from(node.0).unwrap_or(u8::MAX);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)), PORT)
}

/// The proxy at a made-up address.
fn node_at(address: SocketAddr) -> NodeId {
    match address.ip() {
        IpAddr::V4(ip) => NodeId(u64::from(ip.octets()[3])),
        IpAddr::V6(_) => NodeId(0),
    }
}

/// Membership and settings of one proxy.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) swim: SwimMember,
    pub(super) spreader: ConfigurationDisseminator,
    pub(super) tick: Duration,
    pub(super) document: Option<Arc<SettingsDocument>>,
    /// The settings in force.
    pub(super) settings: Arc<ResolvedSettings>,
    pub(super) store_version: u64,
    pub(super) store_revision: Revision,
    pub(super) next_read: u64,
    pub(super) waiting_read: Option<u64>,
    /// The members in view.
    pub(super) members: Vec<Profile>,
}

impl Control {
    /// Membership and settings of a process that starts now.
    pub(super) fn new(
        identity: &ProxyIdentity,
        life: u64,
        seeds: &[SocketAddr],
        now: Time,
        random: &mut Random,
    ) -> Self {
        let profile = Profile {
            node: identity.node,
            version: Version::first(Incarnation(life)),
            address: address_of(identity.node),
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            leaving: false,
        };
        let parameters = DisseminationParameters::default();
        Self {
            swim: SwimMember::new(
                profile,
                seeds,
                SwimConfig::default(),
                now,
                random.generator(),
            ),
            tick: parameters.tick_interval,
            spreader: ConfigurationDisseminator::new(
                now,
                identity.node,
                identity.region.clone(),
                parameters,
            ),
            document: None,
            settings: Arc::default(),
            store_version: 0,
            store_revision: Revision(0),
            next_read: 0,
            waiting_read: None,
            members: Vec::new(),
        }
    }

    /// Ranks the members for a back end.
    pub(super) fn ranking(&self, backend: &BackendId) -> Option<Ranking> {
        let (_, settings) = self.settings.backend(backend)?;
        let candidates = self.members.iter().map(|member| Candidate {
            node: member.node,
            region: &member.region,
            zone: &member.zone,
            leaving: member.leaving,
        });
        rank_owners(candidates, backend, &settings.region, &settings.zone)
    }

    /// Whether the proxy may serve callers.
    pub(super) fn is_ready(&self) -> bool {
        self.spreader.readiness() == stairward_membership::configuration::Readiness::Ready
    }

    /// Until when the settings may be taken for the newest.
    pub(super) fn trusted_until(&self, now: Time) -> Time {
        self.spreader.trusted_until(now)
    }
}

impl ProxyState {
    /// Begins membership and the spreading of settings.
    pub(super) fn start_control(&mut self, out: &mut Outbox<'_>) {
        self.view_changed(out);
        self.feed_membership(Event::Tick, out);
        self.tick_settings(out);
    }

    /// Takes a membership packet.
    pub(super) fn membership_packet(&mut self, from: NodeId, packet: Packet, out: &mut Outbox<'_>) {
        let from = address_of(from);
        self.feed_membership(Event::Received { from, packet }, out);
    }

    /// Tells membership what happened and carries its decisions out.
    pub(super) fn feed_membership(&mut self, event: Event, out: &mut Outbox<'_>) {
        let control = &mut self.control;
        let effects = control.swim.handle(out.now, event, out.random.generator());
        for effect in effects {
            self.membership_effect(effect, out);
        }
        // A departed member's deadlines lie in the past.
        let soonest = out.now + SHORTEST_SLEEP;
        let deadline = self.control.swim.next_deadline().max(soonest);
        out.wake(deadline, ProxyTimer::Membership);
    }

    fn membership_effect(&mut self, effect: Effect, out: &mut Outbox<'_>) {
        match effect {
            Effect::Send { to, packet } => {
                out.peer(node_at(to), PeerMessage::Membership(Box::new(packet)));
            }
            Effect::ViewChanged => self.view_changed(out),
            Effect::MemberChanged { node, change } => {
                out.log(|| format!("sees proxy {node}: {change:?}"));
            }
            Effect::PeerDigest {
                node,
                settings_revision,
            } => {
                let heard = SpreadEvent::RevisionHeard {
                    from: node,
                    revision: settings_revision,
                };
                self.feed_settings(heard, out);
            }
            Effect::TermReceived(news) => {
                self.learn_primary(&news.group, news.term, &news.primary, out);
            }
        }
    }

    fn view_changed(&mut self, out: &mut Outbox<'_>) {
        let before = std::mem::take(&mut self.control.members);
        self.control.members = self.control.swim.view().cloned().collect();
        let members = &self.control.members;
        let places = members.iter().map(|member| PeerLocation {
            node: member.node,
            region: member.region.clone(),
            leaving: member.leaving,
        });
        let places = places.collect();
        let is_in_view = |node: NodeId| members.iter().any(|member| member.node == node);
        let gone: Vec<NodeId> = before
            .iter()
            .map(|member| member.node)
            .filter(|node| !is_in_view(*node))
            .collect();
        self.feed_settings(SpreadEvent::MembersChanged(places), out);
        for node in gone {
            out.peer(node, PeerMessage::Closed);
            self.peer_lost(node, out);
        }
        self.review_claims(out);
    }

    /// Spreads a newer primary to the others.
    pub(super) fn spread_term(&mut self, news: TermUpdate, out: &mut Outbox<'_>) {
        self.feed_membership(Event::TermLearnt(news), out);
    }
}
