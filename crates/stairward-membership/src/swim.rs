//! The membership state machine of one node: SWIM (Das, Gupta and Motivala, 2002) with parts of
//! Lifeguard (Dadgar, Phillips and Currey, 2018). docs/design/membership.md explains the choices.

mod comparison;
mod dissemination;
mod probing;
mod receiving;
mod updates;

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, RngExt as _};
use stairward_types::{Duration, NodeId, Revision, Time};

use crate::broadcast::BroadcastQueue;
use crate::config::SwimConfig;
use crate::introduction::Introductions;
use crate::local_health::LocalHealth;
use crate::member::{Profile, Record, Status, Version};
use crate::packet::{Packet, TermUpdate, Update};
use crate::probe::{PendingProbes, ProbeOrder};
use crate::suspicion::Suspicions;
use crate::table::MemberTable;
use crate::terms::Terms;
use comparison::Comparison;

/// Interval between removals of expired members.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// How long after a pause of this process received packets may predate the pause.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Input to [`SwimMember::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; due at [`SwimMember::next_deadline`].
    Tick,
    /// A packet with a valid proof was received.
    Received {
        /// The source address.
        from: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// The platform's list of machines was read. It replaces the previous list.
    MachinesListed(Vec<SocketAddr>),
    /// A connection to a peer was lost. The peer is probed at once.
    PeerLost(NodeId),
    /// A newer settings revision is in force on this node.
    SettingsApplied(Revision),
    /// This node learnt of a newer term.
    TermLearnt(TermUpdate),
    /// A planned stop has begun. The node gets no new ownership but keeps running.
    LeaveAnnounced,
    /// The planned stop is complete, and the process exits soon.
    Departed,
}

/// Output of [`SwimMember::handle`], to be carried out by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet.
    Send {
        /// The destination address.
        to: SocketAddr,
        /// The packet to encode.
        packet: Packet,
    },
    /// [`SwimMember::view`] has changed: a member joined, left, failed, restarted or announced its
    /// stop.
    ViewChanged,
    /// The status of a member changed; for the log.
    MemberChanged {
        /// The member.
        node: NodeId,
        /// The change.
        change: MemberChange,
    },
    /// A peer's settings revision differs from this node's.
    PeerDigest {
        /// The peer.
        node: NodeId,
        /// The peer's newest revision.
        settings_revision: Revision,
    },
    /// A peer sent a newer term.
    TermReceived(Arc<TermUpdate>),
}

/// A change in the status of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberChange {
    /// It was discovered or came back.
    Joined,
    /// It did not answer a probe.
    Suspected,
    /// It refuted a suspicion.
    Refuted,
    /// It announced a planned stop.
    Leaving,
    /// It did not refute a suspicion in time.
    Failed,
    /// It completed a planned stop.
    Left,
}

/// The context of one event: time, randomness and the effects so far.
struct Step<'a> {
    now: Time,
    rng: &'a mut dyn Rng,
    effects: Vec<Effect>,
}

/// The membership state machine of one node.
#[derive(Debug, Clone)]
pub struct SwimMember {
    config: SwimConfig,
    me: Arc<Profile>,
    has_departed: bool,
    table: MemberTable,
    order: ProbeOrder,
    pending_probes: PendingProbes,
    suspicions: Suspicions,
    health: LocalHealth,
    update_queue: BroadcastQueue<Update>,
    terms: Terms,
    introductions: Introductions,
    member_comparison: Comparison,
    term_comparison: Comparison,
    settings_revision: Revision,
    next_sequence: u64,
    next_probe: Time,
    next_gossip: Time,
    last_gossip: Time,
    next_failed_probe: Time,
    next_cleanup: Time,
    /// Until when failures reported by others are only treated as suspicions, after a pause of this
    /// process.
    catching_up_until: Time,
    view_changed: bool,
}

impl SwimMember {
    /// Creates a node that knows only itself and the addresses to contact.
    #[must_use]
    pub fn new(
        me: Profile,
        seeds: &[SocketAddr],
        config: SwimConfig,
        now: Time,
        rng: &mut dyn Rng,
    ) -> Self {
        let me = Arc::new(me);
        let mut table = MemberTable::default();
        table.put(alive_record(&me, now));
        let probe_offset = config.probe_interval.mul_f64(rng.random::<f64>());
        let failed_offset = config.failed_probe_interval.mul_f64(rng.random::<f64>());
        Self {
            introductions: Introductions::new(seeds, now, config.introduction_interval),
            me,
            has_departed: false,
            table,
            order: ProbeOrder::default(),
            pending_probes: PendingProbes::default(),
            suspicions: Suspicions::default(),
            health: LocalHealth::default(),
            update_queue: BroadcastQueue::default(),
            terms: Terms::default(),
            member_comparison: Comparison::default(),
            term_comparison: Comparison::default(),
            settings_revision: Revision::default(),
            next_sequence: rng.random::<u64>() >> 1,
            next_probe: now + probe_offset,
            next_gossip: Time::NEVER,
            last_gossip: Time::ZERO,
            next_failed_probe: now + failed_offset,
            next_cleanup: now + CLEANUP_INTERVAL,
            catching_up_until: Time::ZERO,
            view_changed: false,
            config,
        }
    }

    /// Adds known members without any exchange, for simulations that start with an established
    /// fleet.
    pub fn preload(&mut self, members: &[Arc<Profile>], now: Time, rng: &mut dyn Rng) {
        for profile in members {
            if profile.node != self.me.node {
                self.table.put(alive_record(profile, now));
                self.order.insert(profile.node, rng);
            }
        }
        self.member_comparison.has_joined = true;
    }

    /// Handles an event and returns the resulting effects.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut dyn Rng) -> Vec<Effect> {
        let mut step = Step {
            now,
            rng,
            effects: Vec::new(),
        };
        self.handle_local_pause(now);
        self.dispatch(event, &mut step);
        self.run_due(&mut step);
        if std::mem::take(&mut self.view_changed) {
            step.effects.push(Effect::ViewChanged);
        }
        step.effects
    }

    /// When [`Event::Tick`] is next due.
    #[must_use]
    pub fn next_deadline(&self) -> Time {
        let deadlines = [
            self.next_probe,
            self.next_gossip,
            self.next_failed_probe,
            self.next_cleanup,
            self.pending_probes.next_deadline(),
            self.suspicions.next_deadline(),
            self.introductions.next_deadline(),
        ];
        deadlines.into_iter().min().unwrap_or(Time::NEVER)
    }

    /// The live members, including this node, ordered by number.
    pub fn view(&self) -> impl Iterator<Item = &Profile> {
        self.table
            .records()
            .filter(|record| record.status.is_live())
            .map(|record| record.profile.as_ref())
    }

    /// The status of a member; `None` if it is unknown.
    #[must_use]
    pub fn status(&self, node: NodeId) -> Option<Status> {
        self.table.get(node).map(|record| record.status)
    }

    /// The newest known version of a member; `None` if it is unknown.
    #[must_use]
    pub fn version(&self, node: NodeId) -> Option<Version> {
        self.table.get(node).map(|record| record.version)
    }

    /// The profile that this node announces.
    #[must_use]
    pub fn profile(&self) -> &Profile {
        &self.me
    }

    /// Digest of the view. Equal views have equal digests.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        self.table.digest()
    }

    fn dispatch(&mut self, event: Event, step: &mut Step<'_>) {
        match event {
            Event::Tick => {}
            Event::Received { from, packet } => self.receive(from, packet, step),
            Event::MachinesListed(addresses) => {
                let interval = self.config.introduction_interval;
                self.introductions
                    .replace_listed(&addresses, step.now, interval);
            }
            Event::PeerLost(node) => self.probe_lost_peer(node, step),
            Event::SettingsApplied(revision) => {
                self.settings_revision = self.settings_revision.max(revision);
            }
            Event::TermLearnt(update) => self.announce_term(&Arc::new(update), step),
            Event::LeaveAnnounced => self.announce_leave(step),
            Event::Departed => self.depart(step),
        }
    }

    fn run_due(&mut self, step: &mut Step<'_>) {
        self.advance_probes(step);
        self.expire_suspicions(step);
        if !self.has_departed {
            self.start_due_probes(step);
            self.send_introductions(step);
        }
        self.gossip_if_due(step);
        if self.next_cleanup <= step.now {
            self.next_cleanup = step.now + CLEANUP_INTERVAL;
            let config = &self.config;
            self.table
                .remove_expired(step.now, config.failed_retention, config.left_retention);
        }
    }

    /// Detects that this process was paused. Its own silence must not be blamed on other members,
    /// so it drops its pending probes and extends the suspicions by the lost time.
    fn handle_local_pause(&mut self, now: Time) {
        let delay = now.since(self.next_deadline());
        if delay > self.config.pause_threshold {
            self.pending_probes.clear();
            self.suspicions.postpone(delay);
            self.health.worsen();
            // Updates such as refutations were missed, and packets waiting in the socket buffer are
            // old.
            self.catching_up_until = now + CATCH_UP_TIME;
            self.member_comparison.has_joined = false;
            self.term_comparison.has_joined = false;
        }
    }

    fn is_catching_up(&self, now: Time) -> bool {
        now < self.catching_up_until
    }

    fn next_sequence(&mut self) -> u64 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }
}

fn alive_record(profile: &Arc<Profile>, now: Time) -> Record {
    Record {
        profile: Arc::clone(profile),
        version: profile.version,
        status: Status::Alive,
        since: now,
    }
}
