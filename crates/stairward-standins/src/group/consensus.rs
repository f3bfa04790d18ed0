//! Terms and elections (Raft, sections 5.2 and 5.4.1; pre-vote from Ongaro's thesis, section 9.6).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use stairward_types::{Freshness, LogPosition, Term, Time};

use super::agenda::Timer;
use super::log::{LogRecord, order};
use super::member::{Context, Member};
use super::message::Message;
use super::replication::Progress;
use super::switchover::Switchover;
use crate::Observation;

/// Length of the log record that begins a term, in bytes.
const TERM_RECORD_BYTES: u64 = 64;

/// A member's part in replication and elections.
#[derive(Debug)]
pub enum Role {
    /// Follows a primary, or waits for one.
    Follower,
    /// Asks whether it would win before it raises the term.
    PreCandidate {
        /// Who would vote for it.
        supporters: BTreeSet<usize>,
    },
    /// Stands for election in its term.
    Candidate {
        /// Who voted for it.
        supporters: BTreeSet<usize>,
    },
    /// Is primary of its term.
    Leader(Leadership),
}

/// What a primary keeps while it leads.
#[derive(Debug, Default)]
pub struct Leadership {
    /// How far each replica has come.
    pub replicas: BTreeMap<usize, Progress>,
    /// The planned change of primary under way.
    pub switchover: Option<Switchover>,
    /// When the last transaction with changes committed.
    pub last_commit: Time,
}

impl Member {
    /// Handles a message: first its term, then its content.
    pub fn handle_message(&mut self, from: usize, message: Message, context: &mut Context<'_>) {
        if let Some(term) = message.term()
            && term > self.term
        {
            self.learn_term(term, context);
        }
        match message {
            Message::Append {
                term,
                previous,
                records,
                trim,
            } => self.append(from, term, previous, records, trim, context),
            Message::Snapshot { term, end, tables } => {
                self.install_snapshot(from, term, end, tables, context);
            }
            Message::Appended { term, matched } => self.appended(from, term, matched, context),
            Message::Mismatch { term, hint } => self.mismatch(from, term, hint, context),
            Message::PreVote { term, last } => self.pre_vote(from, term, last, context),
            Message::PreVoteReply {
                proposed, granted, ..
            } => self.pre_vote_reply(from, proposed, granted, context),
            Message::Vote { term, last } => self.vote(from, term, last, context),
            Message::VoteReply { term, granted } => self.vote_reply(from, term, granted, context),
            Message::TimeoutNow { term } => {
                if term == self.term && !self.leads() {
                    self.stand_for_election(context);
                }
            }
        }
    }

    /// Adopts a later term. A primary steps down and disconnects its clients.
    fn learn_term(&mut self, term: Term, context: &mut Context<'_>) {
        let led = self.leads();
        self.term = term;
        self.voted_for = None;
        self.role = Role::Follower;
        if led {
            self.observe(Observation::SteppedDown { term }, context);
            self.terminate_all_connections(context);
        }
        self.postpone_election(context);
    }

    /// Notes a sign of life of the term's primary.
    pub fn follow(&mut self, context: &mut Context<'_>) {
        self.role = Role::Follower;
        self.heard_primary = context.now;
        self.postpone_election(context);
    }

    /// Moves the election timeout to a random moment from now.
    pub fn postpone_election(&mut self, context: &mut Context<'_>) {
        let timing = self.group.election;
        let spread = u64::try_from(timing.timeout_spread.as_micros()).unwrap_or(u64::MAX);
        let extra = context.random.random_range(0..=spread);
        self.election_deadline = context.now + timing.timeout + Duration::from_micros(extra);
    }

    /// Checks the election timeout.
    pub fn election_timer(&mut self, context: &mut Context<'_>) {
        if self.leads() {
            self.postpone_election(context);
        } else if context.now >= self.election_deadline {
            self.ask_pre_votes(context);
        }
        self.set_timer(self.election_deadline, Timer::Election, context);
    }

    fn ask_pre_votes(&mut self, context: &mut Context<'_>) {
        self.postpone_election(context);
        self.role = Role::PreCandidate {
            supporters: BTreeSet::from([self.place]),
        };
        if self.majority() == 1 {
            return self.stand_for_election(context);
        }
        let question = Message::PreVote {
            term: Term(self.term.0 + 1),
            last: self.log.last(),
        };
        self.send_to_others(&question, context);
    }

    fn pre_vote(&mut self, from: usize, term: Term, last: Freshness, context: &mut Context<'_>) {
        let primary_lives =
            context.now.since(self.heard_primary) < self.group.election.timeout || self.leads();
        let granted = term > self.term && !primary_lives && order(last) >= order(self.log.last());
        let reply = Message::PreVoteReply {
            term: self.term,
            proposed: term,
            granted,
        };
        context.outgoing.push((from, reply));
    }

    fn pre_vote_reply(
        &mut self,
        from: usize,
        proposed: Term,
        granted: bool,
        context: &mut Context<'_>,
    ) {
        let majority = self.majority();
        let Role::PreCandidate { supporters } = &mut self.role else {
            return;
        };
        if !granted || proposed != Term(self.term.0 + 1) {
            return;
        }
        supporters.insert(from);
        if supporters.len() >= majority {
            self.stand_for_election(context);
        }
    }

    fn stand_for_election(&mut self, context: &mut Context<'_>) {
        self.term = Term(self.term.0 + 1);
        self.voted_for = Some(self.place);
        self.role = Role::Candidate {
            supporters: BTreeSet::from([self.place]),
        };
        self.postpone_election(context);
        if self.majority() == 1 {
            return self.lead(context);
        }
        let question = Message::Vote {
            term: self.term,
            last: self.log.last(),
        };
        self.send_to_others(&question, context);
    }

    fn vote(&mut self, from: usize, term: Term, last: Freshness, context: &mut Context<'_>) {
        let free = self.voted_for.is_none_or(|candidate| candidate == from);
        let granted =
            term == self.term && free && !self.leads() && order(last) >= order(self.log.last());
        if granted {
            self.voted_for = Some(from);
            self.postpone_election(context);
        }
        let reply = Message::VoteReply {
            term: self.term,
            granted,
        };
        context.outgoing.push((from, reply));
    }

    fn vote_reply(&mut self, from: usize, term: Term, granted: bool, context: &mut Context<'_>) {
        let majority = self.majority();
        let Role::Candidate { supporters } = &mut self.role else {
            return;
        };
        if !granted || term != self.term {
            return;
        }
        supporters.insert(from);
        if supporters.len() >= majority {
            self.lead(context);
        }
    }

    /// Becomes primary of the present term: applies what it has received and begins the term.
    fn lead(&mut self, context: &mut Context<'_>) {
        self.store.apply_all();
        let last = self.log.last();
        let position = LogPosition(last.position.0 + TERM_RECORD_BYTES);
        let begins = Freshness::new(self.term, position);
        let record = LogRecord {
            freshness: begins,
            changes: std::sync::Arc::default(),
        };
        self.store.apply(&record);
        self.log.append(record);
        self.start_leading(last, context);
        self.observe(
            Observation::ElectionWon {
                term: self.term,
                begins,
                continues: last,
            },
            context,
        );
    }

    /// Takes up the primary's work. The replicas are taken to hold the log up to `known`.
    pub fn start_leading(&mut self, known: Freshness, context: &mut Context<'_>) {
        let replicas = self.others();
        self.role = Role::Leader(Leadership {
            replicas: replicas
                .map(|replica| (replica, Progress::unproved(known)))
                .collect(),
            ..Leadership::default()
        });
        self.heartbeat(self.term, context);
    }

    /// Sends the same message to all other members.
    pub fn send_to_others(&self, message: &Message, context: &mut Context<'_>) {
        for other in self.others() {
            context.outgoing.push((other, message.clone()));
        }
    }
}
