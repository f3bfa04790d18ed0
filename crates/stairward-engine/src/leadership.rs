//! What a node knows of a service's lead, where an old leader may go on after another was promoted.
//!
//! Whoever replaces a leader that can't be asked to step down first puts all replicas on hold for the next
//! term, and then waits one lease. The holds end when the promotion takes effect. So
//!
//! * two reports of replicas, the second heard less than a lease after the first was asked for, can't lie on
//!   both sides of such a promotion: if neither speaks of a later term, none was begun between them;
//! * a report that speaks of a later term says that this term may begin at any time from then on;
//! * reports of *all* other members, each asked for less than a lease ago, tell all there is to know.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Term, Time};

use crate::event::LeadershipChange;

/// How long an attempt to replace a leader may take, in leases.
const ATTEMPT_IN_LEASES: u32 = 3;

/// A member's report on which term it follows or waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberReport {
    /// The newest term that it follows or waits for.
    pub awaited: Term,
    /// When it was asked.
    pub asked_at: Time,
    /// Whether it can be put on hold, as a replica can.
    pub can_be_held: bool,
    /// Whether the member said it itself. Otherwise nothing listens at its address.
    pub is_from_member: bool,
}

/// A query to a member that has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StatusQuery {
    asked_at: Time,
    /// Whether the member refused it, or its connection was lost.
    has_failed: bool,
}

/// What is known of a service's lead.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// The newest term that may have begun; none when that is not known.
    possible_term: Option<Term>,
    /// When the report was asked for by which `possible_term` was last known.
    confirmed_at: Time,
    /// The newest term that was ever said to be about to begin. It may have begun, and whoever led it may be out
    /// of reach since: only reports of all who may have led it show that it did not.
    announced_term: Term,
    /// Until when reports can't show that the announced_term term did not begin, since its promotion may be under way.
    announced_until: Time,
    /// The members that may have been promoted in that term.
    candidates: BTreeSet<BackendId>,
    /// Each member's last report.
    reports: BTreeMap<BackendId, MemberReport>,
    /// Members that owe a report.
    pending_queries: BTreeMap<BackendId, StatusQuery>,
    /// Since when another node has been asked without coming to know enough.
    source_queried_since: Option<Time>,
    /// When it was last asked.
    source_last_queried_at: Option<Time>,
    /// What was last reported of it.
    pub reported: Option<LeadershipChange>,
}

impl Leadership {
    /// Takes a member's report in, heard now. `others` are the members besides the leader that may be promoted.
    pub fn record_report(
        &mut self,
        now: Time,
        lease: Duration,
        member: &BackendId,
        report: MemberReport,
        others: &BTreeSet<BackendId>,
    ) {
        self.pending_queries.remove(member);
        let known = self.reports.get(member);
        if known.is_some_and(|known| known.asked_at > report.asked_at) {
            return;
        }
        self.reports.insert(member.clone(), report);
        self.record_announced_term(now, lease, report.awaited, others);
        let is_continuous = now < self.confirmed_at + lease;
        self.possible_term = self.possible_term.filter(|_| is_continuous);
        if let Some(possible_term) = self.possible_term
            && report.can_be_held
            && others.contains(member)
        {
            self.possible_term = Some(possible_term.max(report.awaited));
            self.confirmed_at = self.confirmed_at.max(report.asked_at);
        }
        self.update_from_all_reports(now, lease, others);
    }

    fn record_announced_term(
        &mut self,
        now: Time,
        lease: Duration,
        term: Term,
        others: &BTreeSet<BackendId>,
    ) {
        if term > self.announced_term {
            // Longer than the attempt that announces it may take.
            self.announced_until = now + lease * ATTEMPT_IN_LEASES;
            self.announced_term = term;
            self.candidates.extend(others.iter().cloned());
        }
    }

    /// A term that was announced_term did not begin, if none of those who may have led it knows of it.
    fn review_announced_term(&mut self, now: Time, lease: Duration, awaited: Term) {
        let is_recent = |id: &BackendId| {
            self.reports
                .get(id)
                .is_some_and(|report| report.is_from_member && now < report.asked_at + lease)
        };
        let is_over = now >= self.announced_until;
        if awaited < self.announced_term && is_over && self.candidates.iter().all(is_recent) {
            self.announced_term = awaited;
            self.candidates.clear();
        }
    }

    /// All other members' reports together, if each is recency enough.
    fn update_from_all_reports(
        &mut self,
        now: Time,
        lease: Duration,
        others: &BTreeSet<BackendId>,
    ) {
        let mut awaited = Term::default();
        let mut asked_at = now;
        for other in others {
            match self.reports.get(other) {
                Some(report) if now < report.asked_at + lease => {
                    awaited = awaited.max(report.awaited);
                    asked_at = asked_at.min(report.asked_at);
                }
                _ => return,
            }
        }
        self.review_announced_term(now, lease, awaited);
        let tells_more = self
            .possible_term
            .is_none_or(|possible_term| awaited < possible_term);
        if tells_more || asked_at > self.confirmed_at {
            self.possible_term = Some(awaited);
            self.confirmed_at = asked_at;
        }
    }

    /// Whether a later term than this may have begun, as far as is known.
    pub fn is_revoked(&self, term: Term) -> bool {
        self.announced_term > term
            || self
                .possible_term
                .is_some_and(|possible_term| possible_term > term)
    }

    /// Whether no later term than this can have begun, by reports that were asked for less than `age` ago.
    pub fn is_confirmed(&self, now: Time, term: Term, age: Duration) -> bool {
        let is_recent = now < self.confirmed_at + age && self.announced_term <= term;
        is_recent
            && self
                .possible_term
                .is_some_and(|possible_term| possible_term <= term)
    }

    /// The newest term that may have begun, and when that was asked.
    pub fn known(&self) -> Option<(Term, Time)> {
        let possible_term = self.possible_term?;
        Some((possible_term.max(self.announced_term), self.confirmed_at))
    }

    /// A later term may begin from now on, led by one of these.
    pub fn revoke(&mut self, now: Time, lease: Duration, term: Term, others: &BTreeSet<BackendId>) {
        self.record_announced_term(now, lease, term, others);
        if term == self.announced_term {
            self.announced_until = now + lease * ATTEMPT_IN_LEASES;
        }
        self.possible_term = self
            .possible_term
            .map(|possible_term| possible_term.max(term));
    }

    /// Whoever announced_term a term is done, with or without a promotion.
    pub fn promotion_ended(&mut self) {
        self.announced_until = Time::ZERO;
    }

    /// Takes in what another node knows, if it was asked later than what is known here.
    pub fn record_peer_knowledge(&mut self, possible_term: Term, asked_at: Time) {
        if asked_at > self.confirmed_at || self.possible_term.is_none() {
            self.possible_term = Some(possible_term);
            self.confirmed_at = asked_at;
        }
    }

    /// Whether pending_queries another node may still be enough: it is, unless that has led to nothing for `timeout`.
    pub fn may_query_source(&mut self, now: Time, recency: Duration, timeout: Duration) -> bool {
        let is_recent = now < self.confirmed_at + recency;
        if is_recent {
            self.source_queried_since = None;
        }
        let since = *self.source_queried_since.get_or_insert(now);
        // A try of long ago is over: this is another one.
        if now >= since + timeout * 2 {
            self.source_queried_since = Some(now);
            return true;
        }
        now < since + timeout
    }

    /// Notes that another node is asked; returns false when that was done less than `pause` ago.
    pub fn record_source_query(&mut self, now: Time, pause: Duration) -> bool {
        let is_due = self
            .source_last_queried_at
            .is_none_or(|at| now >= at + pause);
        if is_due {
            self.source_last_queried_at = Some(now);
        }
        is_due
    }

    /// Notes that a member was asked.
    pub fn record_query(&mut self, now: Time, member: &BackendId) {
        let query = StatusQuery {
            asked_at: now,
            has_failed: false,
        };
        self.pending_queries.insert(member.clone(), query);
    }

    /// Notes that a query came to nothing.
    pub fn query_failed(&mut self, now: Time, member: &BackendId) {
        if let Some(query) = self.pending_queries.get_mut(member) {
            query.asked_at = now;
            query.has_failed = true;
        }
    }

    /// Whether a member was asked less than `timeout` ago and has not answered; a query that came to
    /// nothing counts, too.
    pub fn was_queried_within(&self, now: Time, member: &BackendId, timeout: Duration) -> bool {
        let query = self.pending_queries.get(member);
        query.is_some_and(|query| now < query.asked_at + timeout)
    }

    /// Whether a member was asked less than `timeout` ago and may yet answer.
    pub fn is_reply_awaited(&self, now: Time, member: &BackendId, timeout: Duration) -> bool {
        let query = self.pending_queries.get(member);
        query.is_some_and(|query| !query.has_failed && now < query.asked_at + timeout)
    }

    /// Whether the last query to a member came to nothing so far.
    pub fn owes_report(&self, member: &BackendId) -> bool {
        self.pending_queries.contains_key(member)
    }

    /// Whether a member's report was asked for less than `age` ago.
    pub fn has_report_within(&self, now: Time, member: &BackendId, age: Duration) -> bool {
        let report = self.reports.get(member);
        report.is_some_and(|report| now < report.asked_at + age)
    }
}
