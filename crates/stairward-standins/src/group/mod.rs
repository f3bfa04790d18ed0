//! A replicated database group as a state machine on virtual time.
//!
//! [`Group`] holds all members and the network between them. A driver feeds it [`Event`]s, carries
//! out the [`Effect`]s and calls again at [`Group::wake_at`]. The TCP server of this crate is one
//! driver, a simulation another.
//!
//! Commits are acknowledged by the primary at once and replicated afterwards, as PostgreSQL does
//! with asynchronous replication. The primary is elected by majority with terms and the voting
//! restriction of Raft (Ongaro and Ousterhout, 2014, section 5.4.1), with its pre-vote phase.
//! A primary that is cut off goes on accepting commits, which are lost when it rejoins.

mod agenda;
mod config;
mod connection;
mod consensus;
mod data;
mod deadlines;
mod environment;
mod event;
mod execution;
mod lifecycle;
mod locks;
mod log;
mod member;
mod message;
mod network;
mod replication;
mod session_statements;
mod sessions;
mod settings;
mod statements;
mod store;
mod switchover;
mod transactions;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stairward_types::{BackendId, Freshness, Time};

pub use config::{ElectionTiming, GroupConfig, MemberConfig};
pub use environment::process_number;
pub use event::{
    ClientRequest, Completion, Effect, Event, Fault, Reply, RequestNumber, TransactionStatus,
};

use crate::sql::Tables;

use agenda::{Agenda, Scheduled};
use member::{Context, Member};
use network::Network;

/// A database group: its members and the network between them.
#[derive(Debug)]
pub struct Group {
    members: Vec<Member>,
    network: Network,
    agenda: Agenda,
    random: ChaCha8Rng,
    now: Time,
}

impl Group {
    /// Starts a group. The first member is primary of term 1; `seed` fixes all election timeouts.
    #[must_use]
    pub fn new(config: &GroupConfig, seed: u64, now: Time) -> Self {
        let mut group = Self {
            members: Member::all(config),
            network: Network::new(config),
            agenda: Agenda::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
        };
        let mut effects = Vec::new();
        for place in 0..group.members.len() {
            group.with_member(place, &mut effects, |member, context| {
                member.boot(place == 0, context);
            });
        }
        group
    }

    /// Takes one event in, after everything that was due until `now`.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.run_until(now, &mut effects);
        match event {
            Event::Wake => {}
            Event::Client { member, request } => self.client(&member, request, &mut effects),
            Event::Fault(fault) => self.fault(fault, &mut effects),
            Event::Switchover { to } => self.switch_over(&to, &mut effects),
        }
        self.run_until(now, &mut effects);
        effects
    }

    /// When to call [`Group::handle`] with [`Event::Wake`] next.
    #[must_use]
    pub fn wake_at(&self) -> Option<Time> {
        self.agenda.next()
    }

    /// The names of the members in the order of the configuration.
    pub fn member_ids(&self) -> impl Iterator<Item = &BackendId> {
        self.members.iter().map(|member| &member.backend)
    }

    /// The member that leads the newest term, for tests and reports; `None` during an election.
    #[must_use]
    pub fn primary(&self) -> Option<&BackendId> {
        let newest = self.members.iter().max_by_key(|member| member.term)?;
        let leader = self
            .members
            .iter()
            .find(|member| member.leads() && member.up && member.term == newest.term)?;
        Some(&leader.backend)
    }

    /// What a member reports of itself: newest known term, and applied position when its log has
    /// been matched with that term's primary (zero until then).
    #[must_use]
    pub fn freshness(&self, member: &BackendId) -> Option<Freshness> {
        let place = self.place(member)?;
        Some(self.members[place].reported())
    }

    /// Term and position of the last record in a member's log, applied or not.
    #[must_use]
    pub fn log_end(&self, member: &BackendId) -> Option<Freshness> {
        let place = self.place(member)?;
        Some(self.members[place].log.last())
    }

    /// The tables that a member has applied.
    #[must_use]
    pub fn tables(&self, member: &BackendId) -> Option<&Tables> {
        let place = self.place(member)?;
        Some(&self.members[place].store.tables)
    }

    fn place(&self, member: &BackendId) -> Option<usize> {
        let mut members = self.members.iter();
        members.position(|candidate| candidate.backend == *member)
    }

    fn run_until(&mut self, now: Time, effects: &mut Vec<Effect>) {
        while let Some((at, scheduled)) = self.agenda.pop_due(now) {
            self.now = self.now.max(at);
            self.run_scheduled(scheduled, effects);
        }
        self.now = self.now.max(now);
    }

    fn run_scheduled(&mut self, scheduled: Scheduled, effects: &mut Vec<Effect>) {
        match scheduled {
            Scheduled::Deliver { from, to, message } => {
                if self.network.connected(from, to) {
                    self.with_member(to, effects, |member, context| {
                        member.receive(from, message, context);
                    });
                }
            }
            Scheduled::Timer {
                member,
                life,
                timer,
            } => self.with_member(member, effects, |member, context| {
                member.timer(life, timer, context);
            }),
        }
    }

    fn client(&mut self, member: &BackendId, request: ClientRequest, effects: &mut Vec<Effect>) {
        if let Some(place) = self.place(member) {
            self.with_member(place, effects, |member, context| {
                member.client(request, context);
            });
        }
    }

    fn fault(&mut self, fault: Fault, effects: &mut Vec<Effect>) {
        let Some(place) = self.place(fault.member()) else {
            return;
        };
        match &fault {
            Fault::CutOff { .. } => self.network.cut_off(place),
            Fault::Heal { .. } => self.network.heal(place),
            _ => {}
        }
        self.with_member(place, effects, |member, context| {
            member.fault(&fault, context);
        });
    }

    fn switch_over(&mut self, to: &BackendId, effects: &mut Vec<Effect>) {
        let target = self.place(to);
        let primary = self.primary().and_then(|primary| self.place(primary));
        if let (Some(target), Some(primary)) = (target, primary)
            && target != primary
        {
            self.with_member(primary, effects, |member, context| {
                member.begin_switchover(target, context);
            });
        }
    }

    fn with_member(
        &mut self,
        place: usize,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut Member, &mut Context<'_>),
    ) {
        let mut outgoing = Vec::new();
        let mut context = Context {
            now: self.now,
            agenda: &mut self.agenda,
            random: &mut self.random,
            outgoing: &mut outgoing,
            effects,
        };
        act(&mut self.members[place], &mut context);
        for (to, message) in outgoing {
            if self.network.connected(place, to) {
                let arrives = self.now + self.network.latency(place, to);
                self.agenda.add(
                    arrives,
                    Scheduled::Deliver {
                        from: place,
                        to,
                        message,
                    },
                );
            }
        }
    }
}
