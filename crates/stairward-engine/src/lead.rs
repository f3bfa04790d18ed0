//! What a node knows of a service's lead, where an old leader may go on after another was promoted.
//!
//! Whoever replaces a leader that can't be asked to step down first puts all replicas on hold for the next
//! term, and then waits one lease. The holds end when the promotion takes effect. So
//!
//! * two words of replicas, the second heard less than a lease after the first was asked for, can't lie on
//!   both sides of such a promotion: if neither speaks of a later term, none was begun between them;
//! * a word that speaks of a later term says that this term may begin at any time from then on;
//! * words of *all* other members, each asked for less than a lease ago, tell all there is to know.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Term, Time};

use crate::event::LeadershipChange;

/// How long an attempt to replace a leader may take, in leases.
const ATTEMPT_IN_LEASES: u32 = 3;

/// A member's word on which term it follows or waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Word {
    /// The newest term that it follows or waits for.
    pub awaited: Term,
    /// When it was asked.
    pub asked_at: Time,
    /// Whether it can be put on hold, as a replica can.
    pub can_be_held: bool,
    /// Whether the member said it itself. Otherwise nothing listens at its address.
    pub is_said: bool,
}

/// A question to a member that has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Question {
    asked_at: Time,
    /// Whether the member refused it, or its connection was lost.
    has_failed: bool,
}

/// What is known of a service's lead.
#[derive(Debug, Default)]
pub(crate) struct Lead {
    /// The newest term that may have begun; none when that is not known.
    possible_term: Option<Term>,
    /// When the word was asked for by which `possible_term` was last known.
    known_at: Time,
    /// The newest term that was ever said to be about to begin. It may have begun, and whoever led it may be out
    /// of reach since: only words of all who may have led it show that it did not.
    announced: Term,
    /// Until when words can't show that the announced term did not begin, since its promotion may be under way.
    announced_until: Time,
    /// The members that may have been promoted in that term.
    candidates: BTreeSet<BackendId>,
    /// Each member's last word.
    words: BTreeMap<BackendId, Word>,
    /// Members that owe a word.
    asking: BTreeMap<BackendId, Question>,
    /// Since when another node has been asked without coming to know enough.
    source_tried_since: Option<Time>,
    /// When it was last asked.
    source_asked_at: Option<Time>,
    /// What was last told of it.
    pub told: Option<LeadershipChange>,
}

impl Lead {
    /// Takes a member's word in, heard now. `others` are the members besides the leader that may be promoted.
    pub fn take(
        &mut self,
        now: Time,
        lease: Duration,
        member: &BackendId,
        word: Word,
        others: &BTreeSet<BackendId>,
    ) {
        self.asking.remove(member);
        let known = self.words.get(member);
        if known.is_some_and(|known| known.asked_at > word.asked_at) {
            return;
        }
        self.words.insert(member.clone(), word);
        self.note_announced(now, lease, word.awaited, others);
        let is_linked = now < self.known_at + lease;
        self.possible_term = self.possible_term.filter(|_| is_linked);
        if let Some(possible_term) = self.possible_term
            && word.can_be_held
            && others.contains(member)
        {
            self.possible_term = Some(possible_term.max(word.awaited));
            self.known_at = self.known_at.max(word.asked_at);
        }
        self.take_all_words(now, lease, others);
    }

    fn note_announced(
        &mut self,
        now: Time,
        lease: Duration,
        term: Term,
        others: &BTreeSet<BackendId>,
    ) {
        if term > self.announced {
            // Longer than the attempt that announces it may take.
            self.announced_until = now + lease * ATTEMPT_IN_LEASES;
            self.announced = term;
            self.candidates.extend(others.iter().cloned());
        }
    }

    /// A term that was announced did not begin, if none of those who may have led it knows of it.
    fn review_announced(&mut self, now: Time, lease: Duration, awaited: Term) {
        let is_young = |id: &BackendId| {
            self.words
                .get(id)
                .is_some_and(|word| word.is_said && now < word.asked_at + lease)
        };
        let is_over = now >= self.announced_until;
        if awaited < self.announced && is_over && self.candidates.iter().all(is_young) {
            self.announced = awaited;
            self.candidates.clear();
        }
    }

    /// All other members' words together, if each is young enough.
    fn take_all_words(&mut self, now: Time, lease: Duration, others: &BTreeSet<BackendId>) {
        let mut awaited = Term::default();
        let mut asked_at = now;
        for other in others {
            match self.words.get(other) {
                Some(word) if now < word.asked_at + lease => {
                    awaited = awaited.max(word.awaited);
                    asked_at = asked_at.min(word.asked_at);
                }
                _ => return,
            }
        }
        self.review_announced(now, lease, awaited);
        let tells_more = self
            .possible_term
            .is_none_or(|possible_term| awaited < possible_term);
        if tells_more || asked_at > self.known_at {
            self.possible_term = Some(awaited);
            self.known_at = asked_at;
        }
    }

    /// Whether a later term than this may have begun, as far as is known.
    pub fn is_revoked(&self, term: Term) -> bool {
        self.announced > term
            || self
                .possible_term
                .is_some_and(|possible_term| possible_term > term)
    }

    /// Whether no later term than this can have begun, by words that were asked for less than `age` ago.
    pub fn is_confirmed(&self, now: Time, term: Term, age: Duration) -> bool {
        let is_young = now < self.known_at + age && self.announced <= term;
        is_young
            && self
                .possible_term
                .is_some_and(|possible_term| possible_term <= term)
    }

    /// The newest term that may have begun, and when that was asked.
    pub fn known(&self) -> Option<(Term, Time)> {
        let possible_term = self.possible_term?;
        Some((possible_term.max(self.announced), self.known_at))
    }

    /// A later term may begin from now on, led by one of these.
    pub fn revoke(&mut self, now: Time, lease: Duration, term: Term, others: &BTreeSet<BackendId>) {
        self.note_announced(now, lease, term, others);
        if term == self.announced {
            self.announced_until = now + lease * ATTEMPT_IN_LEASES;
        }
        self.possible_term = self
            .possible_term
            .map(|possible_term| possible_term.max(term));
    }

    /// Whoever announced a term is done, with or without a promotion.
    pub fn settle(&mut self) {
        self.announced_until = Time::ZERO;
    }

    /// Takes in what another node knows, if it was asked later than what is known here.
    pub fn take_known(&mut self, possible_term: Term, asked_at: Time) {
        if asked_at > self.known_at || self.possible_term.is_none() {
            self.possible_term = Some(possible_term);
            self.known_at = asked_at;
        }
    }

    /// Whether asking another node may still be enough: it is, unless that has led to nothing for `patience`.
    pub fn may_ask_source(&mut self, now: Time, young: Duration, patience: Duration) -> bool {
        let is_young = now < self.known_at + young;
        if is_young {
            self.source_tried_since = None;
        }
        let since = *self.source_tried_since.get_or_insert(now);
        // A try of long ago is over: this is another one.
        if now >= since + patience * 2 {
            self.source_tried_since = Some(now);
            return true;
        }
        now < since + patience
    }

    /// Notes that another node is asked; returns false when that was done less than `pause` ago.
    pub fn ask_source(&mut self, now: Time, pause: Duration) -> bool {
        let is_due = self.source_asked_at.is_none_or(|at| now >= at + pause);
        if is_due {
            self.source_asked_at = Some(now);
        }
        is_due
    }

    /// Notes that a member was asked.
    pub fn ask(&mut self, now: Time, member: &BackendId) {
        let question = Question {
            asked_at: now,
            has_failed: false,
        };
        self.asking.insert(member.clone(), question);
    }

    /// Notes that a question came to nothing.
    pub fn question_failed(&mut self, now: Time, member: &BackendId) {
        if let Some(question) = self.asking.get_mut(member) {
            question.asked_at = now;
            question.has_failed = true;
        }
    }

    /// Whether a member was asked less than `patience` ago and has not answered; a question that came to
    /// nothing counts, too.
    pub fn is_asking(&self, now: Time, member: &BackendId, patience: Duration) -> bool {
        let question = self.asking.get(member);
        question.is_some_and(|question| now < question.asked_at + patience)
    }

    /// Whether a member was asked less than `patience` ago and may yet answer.
    pub fn is_awaited(&self, now: Time, member: &BackendId, patience: Duration) -> bool {
        let question = self.asking.get(member);
        question.is_some_and(|question| !question.has_failed && now < question.asked_at + patience)
    }

    /// Whether the last question to a member came to nothing so far.
    pub fn owes_word(&self, member: &BackendId) -> bool {
        self.asking.contains_key(member)
    }

    /// Whether a member's word was asked for less than `age` ago.
    pub fn has_word(&self, now: Time, member: &BackendId, age: Duration) -> bool {
        let word = self.words.get(member);
        word.is_some_and(|word| now < word.asked_at + age)
    }
}
