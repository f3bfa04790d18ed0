//! One member of a group: its state, and which part handles what.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use stairward_types::{BackendId, Freshness, LogPosition, Term, Time};

use super::agenda::{Agenda, Scheduled, Timer};
use super::config::{GroupConfig, MemberConfig};
use super::connection::Connection;
use super::consensus::Role;
use super::event::{ClientRequest, Effect, Reply};
use super::lifecycle::Held;
use super::locks::Locks;
use super::log::Log;
use super::message::Message;
use super::store::Store;
use crate::{ConnectionNumber, GroundTruth, Observation};

/// What a member may use while it handles something.
pub struct Context<'a> {
    /// The present moment.
    pub now: Time,
    /// Where timers are set.
    pub agenda: &'a mut Agenda,
    /// The source of election timeouts.
    pub random: &'a mut ChaCha8Rng,
    /// Messages to send, with the receivers' places.
    pub outgoing: &'a mut Vec<(usize, Message)>,
    /// Effects for the driver.
    pub effects: &'a mut Vec<Effect>,
}

/// A member of a group.
#[derive(Debug)]
pub struct Member {
    /// Its place in the group.
    pub place: usize,
    /// Members in the group.
    pub group_size: usize,
    /// Its name.
    pub backend: BackendId,
    /// The group's configuration.
    pub group: GroupConfig,
    /// Its own configuration.
    pub config: MemberConfig,

    /// Newest term it knows; kept on disk.
    pub term: Term,
    /// Whom it voted for in that term; kept on disk.
    pub voted_for: Option<usize>,
    /// Its log; kept on disk.
    pub log: Log,
    /// The applied state; kept on disk.
    pub store: Store,
    /// Its part in replication and elections.
    pub role: Role,
    /// When it last heard from a primary of its term.
    pub heard_primary: Time,
    /// When it stands for election.
    pub election_deadline: Time,

    /// Counts the lives of its process.
    pub life: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Whether its process is frozen.
    pub paused: bool,
    /// What arrived while it was frozen.
    pub held: VecDeque<Held>,
    /// Time that a fault adds to each statement.
    pub slowness: Duration,
    /// Whether the next commit with changes is not answered.
    pub lose_next_reply: bool,
    /// How late it applies log records as a replica.
    pub lag: Duration,

    /// Client connections.
    pub connections: BTreeMap<ConnectionNumber, Connection>,
    /// Row locks and advisory locks.
    pub locks: Locks,
    /// Connections whose statements wait for a slot.
    pub slot_queue: VecDeque<ConnectionNumber>,
    /// Statements that occupy a slot.
    pub busy_slots: usize,
    /// Transactions begun so far.
    pub transactions_begun: u64,
}

impl Member {
    /// The members of a group, not started yet.
    #[must_use]
    pub fn all(config: &GroupConfig) -> Vec<Self> {
        let members = config.members.iter().enumerate();
        members
            .map(|(place, member)| Self::new(place, member.clone(), config.clone()))
            .collect()
    }

    fn new(place: usize, config: MemberConfig, group: GroupConfig) -> Self {
        let log = Log::new();
        Self {
            place,
            group_size: group.members.len(),
            backend: config.backend.clone(),
            term: log.last().term,
            voted_for: None,
            store: Store::new(log.last()),
            log,
            role: Role::Follower,
            heard_primary: Time::ZERO,
            election_deadline: Time::ZERO,
            life: 0,
            up: true,
            paused: false,
            held: VecDeque::new(),
            slowness: Duration::ZERO,
            lose_next_reply: false,
            lag: config.replication_lag,
            connections: BTreeMap::new(),
            locks: Locks::default(),
            slot_queue: VecDeque::new(),
            busy_slots: 0,
            transactions_begun: 0,
            group,
            config,
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, from: usize, message: Message, context: &mut Context<'_>) {
        if !self.up {
            return;
        }
        if self.paused {
            return self.hold(Held::Message(from, message));
        }
        self.handle_message(from, message, context);
    }

    /// Handles one of its timers.
    pub fn timer(&mut self, life: u64, timer: Timer, context: &mut Context<'_>) {
        if !self.up || life != self.life {
            return;
        }
        if self.paused {
            return self.hold(Held::Timer(timer));
        }
        match timer {
            Timer::Heartbeat(term) => self.heartbeat(term, context),
            Timer::Election => self.election_timer(context),
            Timer::Apply => self.store.apply_due(context.now),
            Timer::Opened(connection) => self.finish_opening(connection, context),
            Timer::StatementEnds(connection, request) => {
                self.statement_ends(connection, request, context);
            }
            Timer::Deadline(connection) => self.deadline_timer(connection, context),
            Timer::Switchover(term) => self.continue_switchover(term, context),
        }
    }

    /// Handles a client's request.
    pub fn client(&mut self, request: ClientRequest, context: &mut Context<'_>) {
        if !self.up {
            if let ClientRequest::Open { connection, .. } = request {
                self.reply(connection, Reply::Reset, context);
            }
            return;
        }
        if self.paused {
            return self.hold(Held::Client(request));
        }
        self.handle_client(request, context);
    }

    /// Whether it believes itself primary.
    #[must_use]
    pub const fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Members that make a majority.
    #[must_use]
    pub const fn majority(&self) -> usize {
        self.group_size / 2 + 1
    }

    /// Places of the other members.
    pub fn others(&self) -> impl Iterator<Item = usize> + use<> {
        let own = self.place;
        (0..self.group_size).filter(move |place| *place != own)
    }

    /// Whether its log has been matched with the primary of the newest term it knows.
    #[must_use]
    pub fn matched(&self) -> bool {
        self.log.last().term == self.term
    }

    /// Newest known term, and the applied position. The position is zero until the log has been
    /// matched with that term's primary: until then it may hold records that the group has lost.
    #[must_use]
    pub fn reported(&self) -> Freshness {
        let position = if self.matched() {
            self.store.applied.position
        } else {
            LogPosition::default()
        };
        Freshness::new(self.term, position)
    }

    /// The position up to which it has received the log of the newest term it knows.
    #[must_use]
    pub fn received(&self) -> LogPosition {
        if self.matched() {
            self.log.last().position
        } else {
            LogPosition::default()
        }
    }

    /// Sets a timer.
    pub fn set_timer(&self, at: Time, timer: Timer, context: &mut Context<'_>) {
        let scheduled = Scheduled::Timer {
            member: self.place,
            life: self.life,
            timer,
        };
        context.agenda.add(at, scheduled);
    }

    /// Reports what happened.
    pub fn observe(&self, observation: Observation, context: &mut Context<'_>) {
        context.effects.push(Effect::Observed(GroundTruth {
            at: context.now,
            backend: self.backend.clone(),
            observation,
        }));
    }

    /// Answers a client.
    pub fn reply(&self, connection: ConnectionNumber, reply: Reply, context: &mut Context<'_>) {
        context.effects.push(Effect::Reply {
            member: self.backend.clone(),
            connection,
            reply,
        });
    }
}
