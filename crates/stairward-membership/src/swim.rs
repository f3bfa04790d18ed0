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
use crate::probe::{Outstanding, ProbeOrder};
use crate::suspicion::Suspicions;
use crate::table::MemberTable;
use crate::terms::Terms;
use comparison::Comparison;

/// Time between two searches for members to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);
/// How long after a pause of its own a node may still read packets from before.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; due at [`SwimMember::next_deadline`].
    Tick,
    /// A packet with a valid proof came in.
    Received {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        packet: Packet,
    },
    /// The platform's list of machines was read; it replaces the previous one.
    MachinesListed(Vec<SocketAddr>),
    /// A connection to a peer was lost, so that it should be probed at once.
    PeerLost(NodeId),
    /// A newer settings revision is in force here.
    SettingsApplied(Revision),
    /// A newer term was learnt here.
    TermLearnt(TermUpdate),
    /// A planned stop has begun: the node gets no new ownership, and goes on.
    LeaveAnnounced,
    /// The planned stop has ended: the process exits soon.
    Departed,
}

/// What a driver must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What to encode.
        packet: Packet,
    },
    /// [`SwimMember::view`] now differs: a member came, went, restarted or announced its stop.
    ViewChanged,
    /// A belief about a member changed, for the log.
    MemberChanged {
        /// The member.
        node: NodeId,
        /// In which way.
        change: MemberChange,
    },
    /// A peer's settings revision differs from this node's.
    PeerDigest {
        /// The peer.
        node: NodeId,
        /// The peer's newest revision.
        settings_revision: Revision,
    },
    /// A newer term arrived from a peer.
    TermReceived(Arc<TermUpdate>),
}

/// How the belief about a member changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberChange {
    /// It was found, or came back.
    Joined,
    /// It did not answer.
    Suspected,
    /// It refuted a suspicion.
    Refuted,
    /// It announced a planned stop.
    Leaving,
    /// It did not refute a suspicion in time.
    Failed,
    /// It has stopped as planned.
    Left,
}

/// The time, a source of randomness and the effects so far, handed through one event.
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
    outstanding: Outstanding,
    suspicions: Suspicions,
    health: LocalHealth,
    news: BroadcastQueue<Update>,
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
    next_forgetting: Time,
    /// After a pause, until when news of failures is taken with care.
    catching_up_until: Time,
    view_changed: bool,
}

impl SwimMember {
    /// A node that knows only itself and where to look for others.
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
            outstanding: Outstanding::default(),
            suspicions: Suspicions::default(),
            health: LocalHealth::default(),
            news: BroadcastQueue::default(),
            terms: Terms::default(),
            member_comparison: Comparison::default(),
            term_comparison: Comparison::default(),
            settings_revision: Revision::default(),
            next_sequence: rng.random::<u64>() >> 1,
            next_probe: now + probe_offset,
            next_gossip: Time::NEVER,
            last_gossip: Time::ZERO,
            next_failed_probe: now + failed_offset,
            next_forgetting: now + FORGET_INTERVAL,
            catching_up_until: Time::ZERO,
            view_changed: false,
            config,
        }
    }

    /// Takes members as known from the start, as if they had been learnt long ago. For simulations
    /// that begin with a formed fleet.
    pub fn preload(&mut self, members: &[Arc<Profile>], now: Time, rng: &mut dyn Rng) {
        for profile in members {
            if profile.node != self.me.node {
                self.table.put(alive_record(profile, now));
                self.order.insert(profile.node, rng);
            }
        }
        self.member_comparison.has_joined = true;
    }

    /// Handles one event at the present time and says what to do.
    pub fn handle(&mut self, now: Time, event: Event, rng: &mut dyn Rng) -> Vec<Effect> {
        let mut step = Step {
            now,
            rng,
            effects: Vec::new(),
        };
        self.allow_for_own_pause(now);
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
            self.next_forgetting,
            self.outstanding.next_deadline(),
            self.suspicions.next_deadline(),
            self.introductions.next_deadline(),
        ];
        deadlines.into_iter().min().unwrap_or(Time::NEVER)
    }

    /// The members believed alive, this node included, ordered by number.
    pub fn view(&self) -> impl Iterator<Item = &Profile> {
        self.table
            .records()
            .filter(|record| record.status.is_live())
            .map(|record| record.profile.as_ref())
    }

    /// What is believed of a member; none when it is not known.
    #[must_use]
    pub fn status(&self, node: NodeId) -> Option<Status> {
        self.table.get(node).map(|record| record.status)
    }

    /// The newest version heard of a member; none when it is not known.
    #[must_use]
    pub fn version(&self, node: NodeId) -> Option<Version> {
        self.table.get(node).map(|record| record.version)
    }

    /// What this node says of itself.
    #[must_use]
    pub fn profile(&self) -> &Profile {
        &self.me
    }

    /// Digest of the view; equal views have equal digests.
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
            Event::TermLearnt(news) => self.spread_term(&Arc::new(news), step),
            Event::LeaveAnnounced => self.announce_leave(step),
            Event::Departed => self.depart(step),
        }
    }

    fn run_due(&mut self, step: &mut Step<'_>) {
        self.end_probe_stages(step);
        self.end_suspicions(step);
        if !self.has_departed {
            self.start_due_probes(step);
            self.introduce(step);
        }
        self.gossip_if_due(step);
        if self.next_forgetting <= step.now {
            self.next_forgetting = step.now + FORGET_INTERVAL;
            let config = &self.config;
            self.table
                .forget_old(step.now, config.failed_retention, config.left_retention);
        }
    }

    /// A node that was not run for a while must not blame the others for its own silence: it drops
    /// its probes and gives suspected members the lost time back.
    fn allow_for_own_pause(&mut self, now: Time) {
        let lateness = now.since(self.next_deadline());
        if lateness > self.config.pause_threshold {
            self.outstanding.clear();
            self.suspicions.postpone(lateness);
            self.health.worsen();
            // News was missed meanwhile, such as refutations, and what waits to be read is old.
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
