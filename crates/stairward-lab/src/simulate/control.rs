//! Membership and settings of a simulated proxy: drives the real membership and spreading decisions.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use stairward_checker::HistoryEvent;
use stairward_membership::configuration::{
    ConfigurationSpreader, Effect as SpreadEffect, Event as SpreadEvent, ExchangeAnswer,
    OutgoingUpdate, PeerPlace, SpreaderParameters, StoreAnswer, Update,
};
use stairward_membership::{
    Candidate, Effect, Event, Packet, Profile, Ranking, SwimConfig, SwimMember, TermNews, Version,
    rank_owners,
};
use stairward_settings::{ResolvedSettings, SettingsDocument, SettingsUpdate};
use stairward_types::{BackendId, Incarnation, NodeId, RegionName, Revision, Time, ZoneName};

use super::calls::CallPurpose;
use super::message::{CallReply, CallRequest, PeerMessage, StoreAnswered, StoreRead};
use super::outbox::{Action, Outbox, ProxyTimer};
use super::proxy::ProxyState;
use super::random::Random;
use super::variant::BrokenVariant;

/// The port in the made-up addresses of proxies.
const PORT: u16 = 7000;
/// Least time between two wake-ups for membership.
const SHORTEST_SLEEP: Duration = Duration::from_millis(1);
/// How much longer than the store may wait its answer may take.
const STORE_GRACE: Duration = Duration::from_millis(500);

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
    spreader: ConfigurationSpreader,
    tick: Duration,
    document: Option<Arc<SettingsDocument>>,
    /// The settings in force.
    pub(super) settings: Arc<ResolvedSettings>,
    store_version: u64,
    store_revision: Revision,
    next_read: u64,
    waiting_read: Option<u64>,
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
        let parameters = SpreaderParameters::default();
        Self {
            swim: SwimMember::new(
                profile,
                seeds,
                SwimConfig::default(),
                now,
                random.generator(),
            ),
            tick: parameters.tick,
            spreader: ConfigurationSpreader::new(
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

    fn revision(&self) -> Revision {
        self.document
            .as_ref()
            .map_or(Revision(0), |document| document.revision())
    }

    fn history_from(&self) -> Revision {
        let document = self.document.as_ref();
        let oldest = document.and_then(|document| document.history().next());
        oldest.map_or(self.revision(), |edit| Revision(edit.revision.0 - 1))
    }

    fn absorb(&self, update: &Update) -> Option<SettingsDocument> {
        let decoded = SettingsUpdate::decode(update.whole, &update.document).ok()?;
        match (&self.document, decoded) {
            (Some(document), decoded) => document.absorb(decoded).ok()?,
            (None, SettingsUpdate::Whole(document)) => Some(*document),
            (None, SettingsUpdate::Edits(_)) => None,
        }
    }

    fn encode(&self, outgoing: OutgoingUpdate) -> Option<Update> {
        let document = self.document.as_ref()?;
        let (after, update) = match outgoing {
            OutgoingUpdate::Nothing => return None,
            OutgoingUpdate::EditsAfter(after) => (after, document.update_after(after)),
            OutgoingUpdate::WholeTree => {
                let whole = SettingsUpdate::Whole(Box::new(document.as_ref().clone()));
                (Revision(0), whole)
            }
        };
        let whole = update.is_whole();
        Some(Update {
            after: if whole { Revision(0) } else { after },
            revision: update.revision()?,
            whole,
            document: update.encode().ok()?.into(),
        })
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
                let heard = SpreadEvent::Heard {
                    from: node,
                    revision: settings_revision,
                };
                self.feed_settings(heard, out);
            }
            Effect::TermArrived(news) => {
                self.learn_primary(&news.group, news.term, &news.primary, out);
            }
        }
    }

    fn view_changed(&mut self, out: &mut Outbox<'_>) {
        let before = std::mem::take(&mut self.control.members);
        self.control.members = self.control.swim.view().cloned().collect();
        let members = &self.control.members;
        let places = members.iter().map(|member| PeerPlace {
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
    pub(super) fn spread_term(&mut self, news: TermNews, out: &mut Outbox<'_>) {
        self.feed_membership(Event::TermLearnt(news), out);
    }

    /// Lets time pass for the spreading of settings.
    pub(super) fn tick_settings(&mut self, out: &mut Outbox<'_>) {
        self.feed_settings(SpreadEvent::Tick, out);
        out.wake(out.now + self.control.tick, ProxyTimer::Settings);
        self.check_trust(out);
    }

    /// Tells the spreader what happened and carries its decisions out.
    pub(super) fn feed_settings(&mut self, event: SpreadEvent, out: &mut Outbox<'_>) {
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let spreader = &mut self.control.spreader;
            let effects = spreader.handle(out.now, event, out.random.generator());
            for effect in effects {
                events.extend(self.settings_effect(effect, out));
            }
        }
    }

    fn settings_effect(
        &mut self,
        effect: SpreadEffect,
        out: &mut Outbox<'_>,
    ) -> Option<SpreadEvent> {
        match effect {
            SpreadEffect::Ask {
                exchange,
                to,
                digest,
                update,
            } => {
                let request = stairward_membership::configuration::ExchangeRequest {
                    digest,
                    update: self.control.encode(update),
                };
                let request = CallRequest::ExchangeSettings(request);
                self.calls
                    .ask(to, request, CallPurpose::Exchange(exchange), out);
                None
            }
            SpreadEffect::Answer {
                call,
                digest,
                update,
            } => {
                let answer = ExchangeAnswer {
                    digest,
                    update: self.control.encode(update),
                };
                if let Some((node, call)) = self.asked_exchanges.remove(&call) {
                    let reply = CallReply::Settings(answer);
                    out.peer(node, PeerMessage::Reply(call, reply));
                }
                None
            }
            SpreadEffect::Apply(update) => match self.control.absorb(&update) {
                Some(document) => self.put_in_force(document, out),
                None => Some(SpreadEvent::ApplyRefused),
            },
            SpreadEffect::ReadStore { wait, .. } => {
                self.read_store(wait, out);
                None
            }
            SpreadEffect::WatcherStarted | SpreadEffect::WatcherStopped => None,
            SpreadEffect::ReadinessChanged(readiness) => {
                out.log(|| format!("readiness {readiness:?}"));
                None
            }
        }
    }

    /// A peer starts an exchange of settings.
    pub(super) fn exchange_asked(
        &mut self,
        from: NodeId,
        call: u64,
        request: stairward_membership::configuration::ExchangeRequest,
        out: &mut Outbox<'_>,
    ) {
        if self.broken == Some(BrokenVariant::Revision) {
            self.revert_to(request.digest.revision, out);
        }
        self.next_exchange += 1;
        self.asked_exchanges
            .insert(self.next_exchange, (from, call));
        let asked = SpreadEvent::Asked {
            from,
            call: self.next_exchange,
            request,
        };
        self.feed_settings(asked, out);
    }

    /// The broken variant: takes whatever revision it hears of for the one in force.
    fn revert_to(&mut self, revision: Revision, out: &mut Outbox<'_>) {
        if revision.0 > 0 && revision < self.control.revision() {
            out.record(HistoryEvent::SettingsApplied {
                proxy: self.identity.node,
                revision,
            });
        }
    }

    /// Puts a document in force unless it is older than the one held.
    fn put_in_force(
        &mut self,
        document: SettingsDocument,
        out: &mut Outbox<'_>,
    ) -> Option<SpreadEvent> {
        if document.revision() <= self.control.revision() {
            return None;
        }
        let resolved = document.resolve().ok()?;
        let revision = document.revision();
        self.control.settings = Arc::new(resolved);
        self.control.document = Some(Arc::new(document));
        out.log(|| format!("settings revision {revision} in force"));
        out.record(HistoryEvent::SettingsApplied {
            proxy: self.identity.node,
            revision,
        });
        self.feed_membership(Event::SettingsApplied(revision), out);
        self.settings_changed(out);
        Some(SpreadEvent::Applied {
            revision,
            history_from: self.control.history_from(),
        })
    }

    fn read_store(&mut self, wait: Duration, out: &mut Outbox<'_>) {
        let control = &mut self.control;
        control.next_read += 1;
        let read = control.next_read;
        control.waiting_read = Some(read);
        let request = StoreRead {
            after: control.store_version,
            wait,
        };
        out.actions.push(Action::Store(read, request));
        let patience = out.now + wait + STORE_GRACE;
        out.wake(patience, ProxyTimer::StoreRead(read));
    }

    /// The store answered a read, or did not in time.
    pub(super) fn store_read_ended(
        &mut self,
        read: u64,
        answer: Option<StoreAnswered>,
        out: &mut Outbox<'_>,
    ) {
        if self.control.waiting_read != Some(read) {
            return;
        }
        self.control.waiting_read = None;
        let answer = match answer {
            None => StoreAnswer::Failed,
            Some(answered) => {
                if let Some((version, document)) = answered.newer {
                    self.control.store_version = version;
                    self.control.store_revision = document.revision();
                    if let Some(applied) = self.put_in_force(document.as_ref().clone(), out) {
                        self.feed_settings(applied, out);
                    }
                }
                StoreAnswer::Read(self.control.store_revision)
            }
        };
        self.feed_settings(SpreadEvent::StoreAnswered(answer), out);
    }
}
