//! The event loop that drives the membership state machine and executes its effects.

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

/// How long the driver keeps running after the departure so that the announcement spreads.
const DEPARTURE_LINGER: Duration = Duration::from_millis(200);
/// Minimum time between two publications of the view, which batches bursts of changes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two log lines about rejected packets.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// One byte more than the maximum, so that longer datagrams are detected.
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
    announced_primaries: Arc<KnownPrimaries>,
    departure: Option<Departure>,
    traffic: Arc<TrafficCounters>,
    /// When the view was last published, and when the next publication is due.
    published: Time,
    publish_due: Time,
    next_rejection_log: Time,
}

/// An announced departure.
struct Departure {
    ends: Time,
    done: oneshot::Sender<()>,
}

/// What woke the event loop.
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
            announced_primaries: Arc::default(),
            departure: None,
            traffic,
            published: now,
            publish_due: Time::NEVER,
            next_rejection_log: now,
        };
        driver.publish_view();
        Ok(driver)
    }

    pub async fn run(mut self) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            match self.next_wake(&mut buffer).await {
                Wake::Time => self.handle_event(Event::Tick).await,
                Wake::Datagram(received) => self.receive_datagram(&buffer, received).await,
                Wake::Request(Some(request)) => self.handle_request(request).await,
                Wake::Request(None) => return,
                Wake::Settings => self.report_settings().await,
                Wake::Primaries => self.announce_primaries().await,
            }
            self.publish_if_due();
            if self.has_departed() {
                return;
            }
        }
    }

    async fn next_wake(&mut self, buffer: &mut [u8]) -> Wake {
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
        let departure = self.departure.as_ref();
        let ends = departure.map_or(Time::NEVER, |departure| departure.ends);
        self.swim.next_deadline().min(ends).min(self.publish_due)
    }

    async fn receive_datagram(
        &mut self,
        buffer: &[u8],
        received: std::io::Result<(usize, SocketAddr)>,
    ) {
        // An error here is a delayed ICMP report that an earlier datagram had no listener.
        let Ok((length, from)) = received else {
            return;
        };
        self.traffic.count_received(length);
        match decode(&buffer[..length], &self.key) {
            Ok(packet) => self.handle_event(Event::Received { from, packet }).await,
            Err(error) => self.log_rejected_packet(from, &error),
        }
    }

    fn log_rejected_packet(&mut self, from: SocketAddr, error: &DatagramError) {
        let now = self.cluster.clock.now();
        if now < self.next_rejection_log {
            return;
        }
        self.next_rejection_log = now + REJECTION_LOG_INTERVAL;
        tracing::warn!(
            event = LogEvent::PacketRefused.number(),
            %from,
            %error,
            "rejected a membership packet"
        );
    }

    async fn handle_request(&mut self, request: Request) {
        match request {
            Request::SetMachineAddresses(addresses) => {
                self.handle_event(Event::MachinesListed(addresses)).await
            }
            Request::ConnectionLost(node) => self.handle_event(Event::PeerLost(node)).await,
            Request::AnnounceLeaving => self.handle_event(Event::LeaveAnnounced).await,
            Request::Depart(done) => {
                self.handle_event(Event::Departed).await;
                let ends = self.cluster.clock.now() + DEPARTURE_LINGER;
                self.departure = Some(Departure { ends, done });
            }
        }
    }

    fn has_departed(&mut self) -> bool {
        let now = self.cluster.clock.now();
        let departure = self.departure.take_if(|departure| departure.ends <= now);
        let has_departed = departure.is_some();
        if let Some(departure) = departure {
            let _ = departure.done.send(());
        }
        has_departed
    }

    async fn report_settings(&mut self) {
        let revision = self.settings.borrow_and_update().revision;
        self.handle_event(Event::SettingsApplied(revision)).await;
    }

    /// Announces the primaries that changed since the last announcement.
    async fn announce_primaries(&mut self) {
        let known = Arc::clone(&self.primaries.borrow_and_update());
        for (group, primary) in known.iter() {
            if self.announced_primaries.get(group) != Some(primary) {
                let update = TermUpdate {
                    group: group.clone(),
                    term: primary.term,
                    primary: primary.backend.clone(),
                };
                self.handle_event(Event::TermLearnt(update)).await;
            }
        }
        self.announced_primaries = known;
    }

    async fn handle_event(&mut self, event: Event) {
        let now = self.cluster.clock.now();
        let effects = self.swim.handle(now, event, &mut self.rng);
        for effect in effects {
            self.execute_effect(effect).await;
        }
    }

    async fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, packet } => self.send(to, &packet).await,
            Effect::ViewChanged => self.schedule_publication(),
            Effect::MemberChanged { node, change } => log_change(node, change),
            Effect::PeerDigest {
                node,
                settings_revision,
            } => {
                // Sending fails only if nobody has subscribed.
                let _ = self.digests.send(PeerDigest {
                    node,
                    settings_revision,
                });
            }
            Effect::TermReceived(update) => self.learn_primary(&update),
        }
    }

    async fn send(&self, to: SocketAddr, packet: &Packet) {
        match encode(packet, &self.key) {
            Ok(bytes) => {
                self.traffic.count_sent(bytes.len());
                // A send failure is treated like packet loss.
                let _ = self.socket.send_to(&bytes, to).await;
            }
            Err(error) => tracing::warn!(
                event = LogEvent::PacketRefused.number(),
                %to,
                %error,
                "failed to encode a membership packet"
            ),
        }
    }

    fn learn_primary(&self, update: &TermUpdate) {
        let primary = KnownPrimary {
            term: update.term,
            backend: update.primary.clone(),
        };
        self.cluster.learn_primary(&update.group, primary);
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

/// Waits for a change of the value; `None` once the sender is dropped.
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
                "a member is suspected of having failed"
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
                "a member announced a planned stop"
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
            tracing::info!(event = LogEvent::MemberLeft.number(), node, "a member left");
        }
    }
}
