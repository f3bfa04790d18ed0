//! The loop that feeds the membership state machine and carries its effects out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use stairward_membership::{
    Effect, Event, MemberChange, Packet, Profile, SwimMember, TermUpdate, Version, decode, encode,
};
use stairward_protocol::ClusterKey;
use stairward_protocol::datagram::{DatagramError, MAXIMUM_DATAGRAM_BYTES};
use stairward_settings::ResolvedSettings;
use stairward_types::{LogEvent, NodeId, Time};
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc, oneshot, watch};

use super::MembershipOptions;
use super::handle::{PeerDigest, Request};
use super::traffic::TrafficCounters;
use crate::cluster::{Cluster, KnownPrimaries, KnownPrimary, Member, MembershipView};

/// How long the news of the departure is still passed on before the driver stops.
const FAREWELL: Duration = Duration::from_millis(200);
/// Shortest time between two publications of the view, so that many changes at once cost little.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two log lines about refused packets.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// One byte more than allowed, so that longer datagrams are recognised.
const RECEIVE_BUFFER_BYTES: usize = MAXIMUM_DATAGRAM_BYTES + 1;

/// Owns the socket and the state machine.
pub(super) struct Driver {
    cluster: Cluster,
    socket: UdpSocket,
    key: ClusterKey,
    swim: SwimMember,
    rng: StdRng,
    requests: mpsc::Receiver<Request>,
    digests: broadcast::Sender<PeerDigest>,
    settings: watch::Receiver<Arc<ResolvedSettings>>,
    primaries: watch::Receiver<Arc<KnownPrimaries>>,
    spread: Arc<KnownPrimaries>,
    farewell: Option<Farewell>,
    traffic: Arc<TrafficCounters>,
    /// When the view was last published, and when it must be published again.
    published: Time,
    publish_due: Time,
    next_refusal_log: Time,
}

/// A departure that has been announced.
struct Farewell {
    ends: Time,
    done: oneshot::Sender<()>,
}

/// What wakes the loop.
enum Wake {
    Time,
    Datagram(std::io::Result<(usize, SocketAddr)>),
    Request(Option<Request>),
    Settings,
    Primaries,
}

impl Driver {
    pub fn new(
        cluster: Cluster,
        socket: UdpSocket,
        key: ClusterKey,
        options: &MembershipOptions,
        requests: mpsc::Receiver<Request>,
        digests: broadcast::Sender<PeerDigest>,
        traffic: Arc<TrafficCounters>,
    ) -> std::io::Result<Self> {
        let address = match options.advertised_address {
            Some(address) => address,
            None => socket.local_addr()?,
        };
        let mut rng: StdRng = rand::make_rng();
        let now = cluster.clock.now();
        let config = options.config.clone();
        let swim = SwimMember::new(
            profile(&cluster, address),
            &options.seeds,
            config,
            now,
            &mut rng,
        );
        let mut settings = cluster.watch_settings();
        settings.mark_changed();
        let mut primaries = cluster.watch_primaries();
        primaries.mark_changed();
        let driver = Self {
            cluster,
            socket,
            key,
            swim,
            rng,
            requests,
            digests,
            settings,
            primaries,
            spread: Arc::default(),
            farewell: None,
            traffic,
            published: now,
            publish_due: Time::NEVER,
            next_refusal_log: now,
        };
        driver.publish_view();
        Ok(driver)
    }

    pub async fn run(mut self) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            match self.wait(&mut buffer).await {
                Wake::Time => self.feed(Event::Tick).await,
                Wake::Datagram(received) => self.receive(&buffer, received).await,
                Wake::Request(Some(request)) => self.answer(request).await,
                Wake::Request(None) => return,
                Wake::Settings => self.tell_settings().await,
                Wake::Primaries => self.tell_primaries().await,
            }
            self.publish_if_due();
            if self.has_departed() {
                return;
            }
        }
    }

    async fn wait(&mut self, buffer: &mut [u8]) -> Wake {
        let deadline = self.next_deadline();
        let time_left = deadline.since(self.cluster.clock.now());
        tokio::select! {
            biased;
            Some(()) = changed(&mut self.settings) => Wake::Settings,
            Some(()) = changed(&mut self.primaries) => Wake::Primaries,
            request = self.requests.recv() => Wake::Request(request),
            received = self.socket.recv_from(buffer) => Wake::Datagram(received),
            () = tokio::time::sleep(time_left) => Wake::Time,
        }
    }

    fn next_deadline(&self) -> Time {
        let farewell = self.farewell.as_ref();
        let ends = farewell.map_or(Time::NEVER, |farewell| farewell.ends);
        self.swim.next_deadline().min(ends).min(self.publish_due)
    }

    async fn receive(&mut self, buffer: &[u8], received: std::io::Result<(usize, SocketAddr)>) {
        // An error here is a late report that an earlier datagram found no listener.
        let Ok((length, from)) = received else {
            return;
        };
        self.traffic.count_received(length);
        match decode(&buffer[..length], &self.key) {
            Ok(packet) => self.feed(Event::Received { from, packet }).await,
            Err(error) => self.log_refusal(from, &error),
        }
    }

    fn log_refusal(&mut self, from: SocketAddr, error: &DatagramError) {
        let now = self.cluster.clock.now();
        if now < self.next_refusal_log {
            return;
        }
        self.next_refusal_log = now + REFUSAL_LOG_INTERVAL;
        tracing::warn!(
            event = LogEvent::PacketRefused.number(),
            %from,
            %error,
            "a membership packet was refused"
        );
    }

    async fn answer(&mut self, request: Request) {
        match request {
            Request::ListMachines(addresses) => self.feed(Event::MachinesListed(addresses)).await,
            Request::PeerLost(node) => self.feed(Event::PeerLost(node)).await,
            Request::AnnounceLeaving => self.feed(Event::LeaveAnnounced).await,
            Request::Depart(done) => {
                self.feed(Event::Departed).await;
                let ends = self.cluster.clock.now() + FAREWELL;
                self.farewell = Some(Farewell { ends, done });
            }
        }
    }

    fn has_departed(&mut self) -> bool {
        let now = self.cluster.clock.now();
        let farewell = self.farewell.take_if(|farewell| farewell.ends <= now);
        let has_departed = farewell.is_some();
        if let Some(farewell) = farewell {
            let _ = farewell.done.send(());
        }
        has_departed
    }

    async fn tell_settings(&mut self) {
        let revision = self.settings.borrow_and_update().revision;
        self.feed(Event::SettingsApplied(revision)).await;
    }

    /// Spreads the terms that are newer than those spread before.
    async fn tell_primaries(&mut self) {
        let known = Arc::clone(&self.primaries.borrow_and_update());
        for (group, primary) in known.iter() {
            if self.spread.get(group) != Some(primary) {
                let news = TermUpdate {
                    group: group.clone(),
                    term: primary.term,
                    primary: primary.backend.clone(),
                };
                self.feed(Event::TermLearnt(news)).await;
            }
        }
        self.spread = known;
    }

    async fn feed(&mut self, event: Event) {
        let now = self.cluster.clock.now();
        let effects = self.swim.handle(now, event, &mut self.rng);
        for effect in effects {
            self.carry_out(effect).await;
        }
    }

    async fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, packet } => self.send(to, &packet).await,
            Effect::ViewChanged => self.schedule_publication(),
            Effect::MemberChanged { node, change } => log_change(node, change),
            Effect::PeerDigest {
                node,
                settings_revision,
            } => {
                // Without listeners there is nobody to tell.
                let _ = self.digests.send(PeerDigest {
                    node,
                    settings_revision,
                });
            }
            Effect::TermReceived(news) => self.learn_primary(&news),
        }
    }

    async fn send(&self, to: SocketAddr, packet: &Packet) {
        match encode(packet, &self.key) {
            Ok(bytes) => {
                self.traffic.count_sent(bytes.len());
                // A datagram that cannot be sent counts as lost on the way.
                let _ = self.socket.send_to(&bytes, to).await;
            }
            Err(error) => tracing::warn!(
                event = LogEvent::PacketRefused.number(),
                %to,
                %error,
                "a membership packet could not be encoded"
            ),
        }
    }

    fn learn_primary(&self, news: &TermUpdate) {
        let primary = KnownPrimary {
            term: news.term,
            backend: news.primary.clone(),
        };
        self.cluster.learn_primary(&news.group, primary);
    }

    fn schedule_publication(&mut self) {
        if self.publish_due == Time::NEVER {
            self.publish_due = self.published + PUBLISH_INTERVAL;
        }
    }

    fn publish_if_due(&mut self) {
        let now = self.cluster.clock.now();
        if self.publish_due <= now {
            self.published = now;
            self.publish_due = Time::NEVER;
            self.publish_view();
        }
    }

    fn publish_view(&self) {
        let members = self.swim.view().map(member).collect();
        self.cluster.set_members(MembershipView { members });
    }
}

/// Resolves when the value changed; never again once its sender is gone.
async fn changed<T>(receiver: &mut watch::Receiver<T>) -> Option<()> {
    receiver.changed().await.ok()
}

fn profile(cluster: &Cluster, address: SocketAddr) -> Profile {
    let identity = &cluster.identity;
    Profile {
        node: identity.node,
        version: Version::first(identity.incarnation),
        address,
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        leaving: false,
    }
}

fn member(profile: &Profile) -> Member {
    Member {
        node: profile.node,
        incarnation: profile.version.incarnation,
        peer_address: profile.address,
        region: profile.region.clone(),
        zone: profile.zone.clone(),
        leaving: profile.leaving,
    }
}

fn log_change(node: NodeId, change: MemberChange) {
    let node = node.0;
    match change {
        MemberChange::Joined => {
            tracing::info!(
                event = LogEvent::MemberJoined.number(),
                node,
                "a member joined"
            );
        }
        MemberChange::Suspected => {
            tracing::debug!(
                event = LogEvent::MemberSuspected.number(),
                node,
                "a member is suspected"
            );
        }
        MemberChange::Refuted => {
            tracing::debug!(
                event = LogEvent::MemberSuspected.number(),
                node,
                "a member refuted a suspicion"
            );
        }
        MemberChange::Leaving => {
            tracing::info!(
                event = LogEvent::MemberLeft.number(),
                node,
                "a member announced that it leaves"
            );
        }
        MemberChange::Failed => {
            tracing::warn!(
                event = LogEvent::MemberFailed.number(),
                node,
                "a member failed"
            );
        }
        MemberChange::Left => {
            tracing::info!(
                event = LogEvent::MemberLeft.number(),
                node,
                "a member has left"
            );
        }
    }
}
