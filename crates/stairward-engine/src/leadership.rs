//! What a node knows of a service's leadership when a deposed leader may keep answering after another one was
//! promoted.
//!
//! A node that replaces a leader that can't be asked to step down first puts all replicas on hold for the
//! next term, and then waits one lease. The holds end when the promotion takes effect. Therefore:
//!
//! * Two replica reports, the second received less than a lease after the first was requested, can't lie on
//!   both sides of such a promotion: if neither mentions a later term, no promotion began between them.
//! * A report that mentions a later term means that this term may begin at any time from then on.
//! * Reports of *all* other members, each requested less than a lease ago, give complete knowledge.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Freshness, Term, Time};

use crate::event::LeadershipChange;

/// Longest duration of an attempt to replace a leader, in leases.
const ATTEMPT_IN_LEASES: u32 = 3;

/// A member's report of the term that it follows or waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberReport {
    /// The highest term that it follows or waits for.
    pub awaited: Term,
    /// The term that it leads or follows.
    pub term: Term,
    /// How much of the log it has received.
    pub received: Freshness,
    /// When the report was requested.
    pub asked_at: Time,
    /// When the report was received.
    pub heard_at: Time,
    /// Whether the member can be put on hold; only replicas can.
    pub can_be_held: bool,
    /// Whether the member itself sent the report. Otherwise nothing listens at its address.
    pub is_from_member: bool,
}

/// A status query without a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StatusQuery {
    asked_at: Time,
    /// Whether the member refused the query or its connection was lost.
    has_failed: bool,
}

/// How a leader's log compares with those of the other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogComparison {
    /// No member that reported has received more in the leader's term.
    Complete,
    /// Another member has received this entry, which the leader lacks.
    Lacks(Freshness),
    /// Another member has received more, but may have done so after the leader reported.
    MayLack,
    /// The leader has not reported.
    Unknown,
}

/// The newest promotion that the store's record or another node has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RecordedPromotion {
    leader: BackendId,
    /// The announced term, which may be above the one that it started.
    term: Term,
    /// Whether its request is unanswered, so that it may be carried out at any later time.
    is_pending: bool,
    /// When this node learned of it, or of the answer.
    learned_at: Time,
}

/// Announced terms that are over: the only promotion requested for them started, or left in place, the leader of an
/// earlier one. Members that can't be reached, or are still on hold for these terms, can tell nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SettledTerms {
    /// The newest of them.
    up_to: Term,
    /// The term that is led instead.
    led: Term,
}

/// What is known of a service's leadership.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    /// The highest term that may have begun; none if unknown.
    possible_term: Option<Term>,
    /// When the report that last confirmed `possible_term` was requested.
    confirmed_at: Time,
    /// The highest term that was ever announced. It may have begun, and its leader may be unreachable since;
    /// only reports of all possible leaders show that it did not begin.
    announced_term: Term,
    /// Until this time the promotion to the announced term may be in progress, so reports can't show that it
    /// did not begin.
    announced_until: Time,
    /// The members that may have been promoted in the announced term.
    candidates: BTreeSet<BackendId>,
    /// The newest promotion that the store's record or another node has shown.
    recorded: Option<RecordedPromotion>,
    /// Members whose promotion was requested without an answer, and since when a later one has been answered.
    unanswered: BTreeMap<BackendId, Option<Time>>,
    /// The announced terms that are known to be over.
    settled: Option<SettledTerms>,
    /// Whether the platform refuses a promotion if it has seen a higher fencing token.
    pub are_promotions_fenced: bool,
    /// The last report of each member.
    reports: BTreeMap<BackendId, MemberReport>,
    /// Queries without a reply, by member.
    pending_queries: BTreeMap<BackendId, StatusQuery>,
    /// Since when the leadership source has been queried without sufficient information.
    source_queried_since: Option<Time>,
    /// When the source was last queried.
    source_last_queried_at: Option<Time>,
    /// The change that was last reported to the engine's driver.
    pub reported: Option<LeadershipChange>,
}

impl Leadership {
    /// Records a member's report received at `now`. `others` are the members that may be promoted instead of
    /// the leader.
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
        self.settle_announced_term(now, lease);
        let awaited = self.awaited_by(&report);
        self.record_announced_term(now, lease, awaited, others);
        let is_continuous = now < self.confirmed_at + lease;
        self.possible_term = self.possible_term.filter(|_| is_continuous);
        if let Some(possible_term) = self.possible_term
            && report.can_be_held
            && others.contains(member)
        {
            self.possible_term = Some(possible_term.max(awaited));
            self.confirmed_at = self.confirmed_at.max(report.asked_at);
        }
        self.update_from_all_reports(now, lease, others);
    }

    /// Records a member's report of its log where leaderships need no confirmation.
    pub fn record_log_report(&mut self, member: &BackendId, report: MemberReport) {
        self.pending_queries.remove(member);
        let known = self.reports.get(member);
        if known.is_none_or(|known| known.asked_at <= report.asked_at) {
            self.reports.insert(member.clone(), report);
        }
    }

    /// Settles the announced terms if the newest known promotion, which was answered, is that of the member that
    /// reports to lead, and none of another member is unanswered. Each later term is announced before its promotion
    /// is requested, so that the promotion that started the leader's term was the only one for those in between.
    fn settle_announced_term(&mut self, now: Time, lease: Duration) {
        let Some(recorded) = self.recorded.as_ref().filter(|known| !known.is_pending) else {
            return;
        };
        let leads = |report: &&MemberReport| {
            report.is_from_member && !report.can_be_held && report.asked_at >= recorded.learned_at
        };
        let Some(report) = self.reports.get(&recorded.leader).filter(leads) else {
            return;
        };
        let is_announced =
            self.announced_term > report.term && self.announced_term <= recorded.term;
        let others_unanswered =
            self.may_another_take_effect(now, lease * ATTEMPT_IN_LEASES, &recorded.leader);
        let is_superseded = self.reports.values().any(|other| other.term > report.term);
        if !is_announced || others_unanswered || is_superseded {
            return;
        }
        let (up_to, led) = (recorded.term, report.term);
        self.settled = Some(SettledTerms { up_to, led });
        self.announced_term = led;
        self.candidates.clear();
        self.possible_term = self.possible_term.map(|term| self.effective_term(term));
    }

    /// The term that a member awaits. A hold for a term that is over counts no more; a term that it follows does.
    fn awaited_by(&self, report: &MemberReport) -> Term {
        report.term.max(self.effective_term(report.awaited))
    }

    /// An announced term; the term that is led instead if this one is over.
    fn effective_term(&self, term: Term) -> Term {
        let settled = self.settled.filter(|settled| term <= settled.up_to);
        settled.map_or(term, |settled| term.min(settled.led))
    }

    /// The newest term for which a promotion was requested; 0 if there is none. A new attempt must announce a later one.
    pub fn newest_used_term(&self) -> Term {
        let recorded = self.recorded.as_ref().map(|known| known.term);
        recorded.unwrap_or_default()
    }

    fn record_announced_term(
        &mut self,
        now: Time,
        lease: Duration,
        term: Term,
        others: &BTreeSet<BackendId>,
    ) {
        if term > self.announced_term {
            // Longer than the announcing attempt may take.
            self.announced_until = now + lease * ATTEMPT_IN_LEASES;
            self.announced_term = term;
            self.candidates.extend(others.iter().cloned());
        }
    }

    /// Drops an announced term once fresh reports of all possible leaders show that it did not begin. One of
    /// them may be the present leader by now, so that its report is not part of `awaited`.
    fn review_announced_term(&mut self, now: Time, lease: Duration, awaited: Term) {
        let has_not_begun_at = |id: &BackendId| {
            self.reports.get(id).is_some_and(|report| {
                report.is_from_member
                    && now < report.asked_at + lease
                    && report.awaited < self.announced_term
            })
        };
        let is_over = now >= self.announced_until;
        let has_not_begun =
            awaited < self.announced_term && self.candidates.iter().all(has_not_begun_at);
        if is_over && has_not_begun {
            self.announced_term = awaited;
            self.candidates.clear();
        }
    }

    /// Derives the possible term from the reports of all other members, if each is recent enough.
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
                    awaited = awaited.max(self.awaited_by(report));
                    asked_at = asked_at.min(report.asked_at);
                }
                _ => return,
            }
        }
        if self.candidates.is_empty() {
            // The term was announced before any member was known.
            self.candidates.extend(others.iter().cloned());
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

    /// Records the promotion that the store's record or another node shows.
    pub fn record_promotion(&mut self, now: Time, leader: BackendId, term: Term, is_pending: bool) {
        let is_newer = self.recorded.as_ref().is_none_or(|known| {
            let is_same = known.leader == leader && known.is_pending == is_pending;
            known.term < term || (known.term == term && !is_same)
        });
        if !is_newer {
            return;
        }
        if is_pending {
            self.unanswered.insert(leader.clone(), None);
        } else {
            self.unanswered.remove(&leader);
            for answered_after in self.unanswered.values_mut() {
                answered_after.get_or_insert(now);
            }
        }
        self.recorded = Some(RecordedPromotion {
            leader,
            term,
            is_pending,
            learned_at: now,
        });
    }

    /// Whether an unanswered promotion of a member other than `leader` may take effect yet. Where tokens are examined,
    /// one that was accepted just before a later one was answered takes effect within `age` after that.
    pub fn may_another_take_effect(&self, now: Time, age: Duration, leader: &BackendId) -> bool {
        let others = self.unanswered.iter().filter(|(id, _)| *id != leader);
        let mut ends = others.map(|(_, answered_after)| answered_after);
        let is_over = |at: Time| self.are_promotions_fenced && now >= at + age;
        ends.any(|answered_after| !answered_after.is_some_and(is_over))
    }

    /// Whether an unanswered promotion of a member other than `leader` was followed by an answered one less than `age`
    /// ago, so that it may be about to take effect.
    pub fn was_another_overtaken_within(
        &self,
        now: Time,
        age: Duration,
        leader: &BackendId,
    ) -> bool {
        let others = self.unanswered.iter().filter(|(id, _)| *id != leader);
        let mut ends = others.filter_map(|(_, answered_after)| *answered_after);
        ends.any(|at| now < at + age)
    }

    /// The term of a promotion whose request is unanswered; 0 if there is none.
    fn pending_term(&self) -> Term {
        let pending = self.recorded.as_ref().filter(|known| known.is_pending);
        pending.map_or(Term::default(), |pending| pending.term)
    }

    /// Whether a promotion to a later term than `term` is unanswered.
    pub fn is_promotion_pending(&self, term: Term) -> bool {
        self.pending_term() > term
    }

    /// Whether the promotion of another member to a later term than that of the leader of `term` was answered
    /// less than `age` ago, so that it has taken effect or is about to.
    pub fn was_another_promoted_within(
        &self,
        now: Time,
        age: Duration,
        leader: &BackendId,
        term: Term,
    ) -> bool {
        self.recorded.as_ref().is_some_and(|recorded| {
            !recorded.is_pending
                && recorded.leader != *leader
                && recorded.term > term
                && now < recorded.learned_at + age
        })
    }

    /// Whether a later term than that of the leader of `term` was requested, and may begin.
    ///
    /// While its request is unanswered, no report shows that it will not begin. After that, the member that was
    /// promoted counts even if discovery no longer lists it, until its own report, requested after the
    /// promotion must have taken effect, shows that its term did not begin.
    pub fn is_superseded_by_record(
        &self,
        now: Time,
        lease: Duration,
        leader: &BackendId,
        term: Term,
    ) -> bool {
        if self.pending_term() > term {
            return true;
        }
        let recorded = self.recorded.as_ref();
        let is_later =
            |recorded: &&RecordedPromotion| recorded.leader != *leader && recorded.term > term;
        let Some(recorded) = recorded.filter(is_later) else {
            return false;
        };
        let has_not_begun = self.reports.get(&recorded.leader).is_some_and(|report| {
            report.is_from_member
                && now < report.asked_at + lease
                && report.asked_at >= recorded.learned_at + lease * ATTEMPT_IN_LEASES
                && report.awaited < recorded.term
        });
        !has_not_begun
    }

    /// Whether each of these members has reported, or nothing listened at its address.
    pub fn has_reports_of(&self, members: &BTreeSet<BackendId>) -> bool {
        members.iter().all(|id| self.reports.contains_key(id))
    }

    /// Compares a leader's log with those of the members that have reported. A leader of a later term than that
    /// of another member may lack what the other has received: it is rolled back there.
    pub fn compare_log(&self, leader: &BackendId) -> LogComparison {
        let Some(own) = self.reports.get(leader).filter(|own| !own.can_be_held) else {
            return LogComparison::Unknown;
        };
        let order = |report: &MemberReport| (report.received.term, report.received.position);
        let others = self.reports.iter().filter(|(id, _)| *id != leader);
        let ahead = others
            .map(|(_, report)| report)
            .filter(|report| report.is_from_member && report.term >= own.term)
            .filter(|report| order(report) > order(own))
            .max_by_key(|report| order(report));
        match ahead {
            None => LogComparison::Complete,
            Some(ahead) if ahead.heard_at <= own.asked_at => LogComparison::Lacks(ahead.received),
            Some(_) => LogComparison::MayLack,
        }
    }

    /// Whether a member other than the leader has received more than this position, in the leader's term or a
    /// later one.
    pub fn has_received_more(
        &self,
        leader: &BackendId,
        term: Term,
        position: Option<Freshness>,
    ) -> bool {
        let position = position.map(|position| (position.term, position.position));
        self.reports.iter().any(|(id, report)| {
            let received = (report.received.term, report.received.position);
            id != leader
                && report.is_from_member
                && report.term >= term
                && Some(received) > position
        })
    }

    /// Whether a term later than `term` may have begun.
    pub fn is_revoked(&self, term: Term) -> bool {
        self.announced_term > term
            || self
                .possible_term
                .is_some_and(|possible_term| possible_term > term)
    }

    /// Whether no term later than `term` can have begun, based on reports requested less than `age` ago.
    pub fn is_confirmed(&self, now: Time, term: Term, age: Duration) -> bool {
        let is_recent = now < self.confirmed_at + age && self.announced_term <= term;
        is_recent
            && self
                .possible_term
                .is_some_and(|possible_term| possible_term <= term)
    }

    /// The highest announced term that may still begin, or has begun.
    pub fn announced_term(&self) -> Term {
        self.announced_term
    }

    /// The highest term that may have begun, and when the underlying report was requested.
    pub fn known(&self) -> Option<(Term, Time)> {
        let possible_term = self.possible_term?;
        let possible_term = possible_term.max(self.announced_term);
        Some((possible_term.max(self.pending_term()), self.confirmed_at))
    }

    /// A later term, led by one of `others`, may begin from now on.
    pub fn revoke(&mut self, now: Time, lease: Duration, term: Term, others: &BTreeSet<BackendId>) {
        let term = self.effective_term(term);
        self.record_announced_term(now, lease, term, others);
        if term == self.announced_term {
            self.announced_until = now + lease * ATTEMPT_IN_LEASES;
        }
        self.possible_term = self
            .possible_term
            .map(|possible_term| possible_term.max(term));
    }

    /// The attempt that announced a term has ended, with or without a promotion.
    pub fn promotion_ended(&mut self) {
        self.announced_until = Time::ZERO;
    }

    /// Adopts another node's knowledge if it is newer than the local knowledge.
    pub fn record_peer_knowledge(&mut self, possible_term: Term, asked_at: Time) {
        if asked_at > self.confirmed_at || self.possible_term.is_none() {
            self.possible_term = Some(possible_term);
            self.confirmed_at = asked_at;
        }
    }

    /// Whether querying the source is still sufficient: it is, unless queries have been fruitless for
    /// `timeout`.
    pub fn may_query_source(&mut self, now: Time, recency: Duration, timeout: Duration) -> bool {
        let is_recent = now < self.confirmed_at + recency;
        if is_recent {
            self.source_queried_since = None;
        }
        let since = *self.source_queried_since.get_or_insert(now);
        // An old series of queries is over; start a new one.
        if now >= since + timeout * 2 {
            self.source_queried_since = Some(now);
            return true;
        }
        now < since + timeout
    }

    /// Records that the source is queried; returns false if the last query is less than `pause` ago.
    pub fn record_source_query(&mut self, now: Time, pause: Duration) -> bool {
        let is_due = self
            .source_last_queried_at
            .is_none_or(|at| now >= at + pause);
        if is_due {
            self.source_last_queried_at = Some(now);
        }
        is_due
    }

    pub fn record_query(&mut self, now: Time, member: &BackendId) {
        let query = StatusQuery {
            asked_at: now,
            has_failed: false,
        };
        self.pending_queries.insert(member.clone(), query);
    }

    /// Records that a query failed.
    pub fn query_failed(&mut self, now: Time, member: &BackendId) {
        if let Some(query) = self.pending_queries.get_mut(member) {
            query.asked_at = now;
            query.has_failed = true;
        }
    }

    /// Whether a member was queried less than `timeout` ago without a reply; failed queries count too.
    pub fn was_queried_within(&self, now: Time, member: &BackendId, timeout: Duration) -> bool {
        let query = self.pending_queries.get(member);
        query.is_some_and(|query| now < query.asked_at + timeout)
    }

    /// Whether a member was queried less than `timeout` ago and may still reply.
    pub fn is_reply_awaited(&self, now: Time, member: &BackendId, timeout: Duration) -> bool {
        let query = self.pending_queries.get(member);
        query.is_some_and(|query| !query.has_failed && now < query.asked_at + timeout)
    }

    /// Whether the last query to a member has had no reply.
    pub fn owes_report(&self, member: &BackendId) -> bool {
        self.pending_queries.contains_key(member)
    }

    /// Whether a member's report was requested less than `age` ago.
    pub fn has_report_within(&self, now: Time, member: &BackendId, age: Duration) -> bool {
        let report = self.reports.get(member);
        report.is_some_and(|report| now < report.asked_at + age)
    }
}
