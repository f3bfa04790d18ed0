//! Checks invariants against the responses that callers received and the statements that databases executed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{Term, Time};

use crate::database::{Database, ExecutedStatement, LogEntry};

/// An invariant of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A read sees every commit that its consistency level requires.
    FreshRead,
    /// A write that was reported as not run is not committed.
    NotRunGuarantee,
    /// A write takes effect at most once.
    AtMostOnce,
    /// Databases only run statements that callers sent, with unchanged text.
    UnmodifiedStatement,
    /// Statements run in their own transaction and with the values of their own session.
    SessionIsolation,
    /// No write is acknowledged that an old primary committed after the next term began.
    OneLeader,
    /// With synchronous replicas, a promotion loses no acknowledged commit.
    Kept,
    /// A fencing token is used for at most one promotion.
    UniqueToken,
    /// Within a lease, only one node writes a service's failover record.
    SingleRecordWriter,
    /// A configuration comes into force in time and is never replaced by an older one.
    Configuration,
    /// A back end that is leaving receives no new work after the drain limit.
    Leaving,
    /// A caller receives exactly one response to each statement.
    OneResponse,
    /// A success carries the signature of the caller's own statement and the rows of its own read.
    OwnResponse,
    /// A statement runs on a connection that was opened for its own tenant.
    TenantIsolation,
    /// No statement runs with a withdrawn key.
    KeyRevocation,
    /// No tenant runs more operations than its limit allows.
    TenantRateLimit,
    /// No work reaches a database after its zone's evacuation had to take effect.
    ZoneEvacuation,
    /// A database that has just started receives no more requests per second than its service allows.
    WarmUp,
    /// A process that is stopped as planned ends within its grace time.
    StopGrace,
    /// A planned stop cuts no request that a database has run.
    CompleteResponse,
    /// Once nothing fails any more and all data is there, commits are acknowledged again.
    ServedAgain,
    /// While nothing fails and all members answer, a service changes its primary at most once more.
    StablePrimary,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// When the violation was detected.
    pub at: Time,
    /// A description of what was observed.
    pub text: String,
}

/// Which commits a read must see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadKind {
    /// Every commit acknowledged before the read started.
    Leader,
    /// Every commit acknowledged before the read's start minus the allowed staleness.
    Bounded,
    /// Like [`Self::Bounded`], and every earlier acknowledged commit of the same session.
    Own,
}

/// A statement as a caller sent it.
#[derive(Debug, Clone)]
pub struct SentStatement {
    /// The caller's session.
    pub session: u64,
    /// The caller's operation; all statements of a transaction share it.
    pub operation: u64,
    /// The statement's text.
    pub text: String,
    /// Which commits its reads must see.
    pub kind: ReadKind,
    /// When the caller started the statement or its transaction.
    pub start: Time,
    /// The session values that were acknowledged to the caller.
    pub values: BTreeMap<String, String>,
    /// Earlier statements of the same transaction that received a response.
    pub before: Vec<String>,
    /// Whether the statement belongs to a transaction.
    pub in_transaction: bool,
}

#[derive(Debug, Clone)]
struct Acknowledged {
    at: Time,
    session: u64,
    entry: LogEntry,
}

/// The history of a run and its checks.
#[derive(Debug)]
pub struct Checker {
    staleness: Duration,
    sent: BTreeMap<String, SentStatement>,
    commits: BTreeMap<String, Vec<LogEntry>>,
    acknowledged: Vec<Acknowledged>,
    reported_not_run: BTreeSet<u64>,
    /// Ids of all statements that databases ran.
    executed: BTreeSet<String>,
    decisions: BTreeMap<u64, String>,
    /// Commit time and log entry of each write, by statement id.
    committed_at: BTreeMap<String, (Time, LogEntry)>,
    /// When each term began.
    terms: BTreeMap<Term, Time>,
    /// Number of acknowledged commits that promotions rolled back.
    pub acknowledged_then_lost: u64,
    /// The violations so far.
    pub violations: Vec<Violation>,
    /// How often each invariant was checked.
    pub checked: BTreeMap<Invariant, u64>,
}

impl Checker {
    /// An empty history; `staleness` is the maximum age of a bounded read.
    pub fn new(staleness: Duration) -> Self {
        Self {
            staleness,
            sent: BTreeMap::new(),
            commits: BTreeMap::new(),
            acknowledged: Vec::new(),
            reported_not_run: BTreeSet::new(),
            executed: BTreeSet::new(),
            decisions: BTreeMap::new(),
            committed_at: BTreeMap::new(),
            terms: BTreeMap::new(),
            acknowledged_then_lost: 0,
            violations: Vec::new(),
            checked: BTreeMap::new(),
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, at: Time, invariant: Invariant, text: String) {
        self.violations.push(Violation {
            invariant,
            at,
            text,
        });
    }

    /// Counts one check of an invariant.
    pub fn count(&mut self, invariant: Invariant) {
        *self.checked.entry(invariant).or_default() += 1;
    }

    /// The session and operation of a statement.
    pub fn session_and_operation(&self, statement: &str) -> Option<(u64, u64)> {
        let sent = self.sent.get(statement)?;
        Some((sent.session, sent.operation))
    }

    /// Records that a caller sent a statement.
    pub fn record_sent(&mut self, id: String, sent: SentStatement) {
        self.sent.insert(id, sent);
    }

    /// Records that a database ran a statement, and checks it.
    pub fn record_executed(
        &mut self,
        now: Time,
        database: &Database,
        executed: &ExecutedStatement,
    ) {
        self.executed.insert(executed.id.clone());
        let Some(sent) = self.check_received(now, &executed.id, &executed.text) else {
            return;
        };
        self.check_transaction(now, &sent, executed);
        if let Some(read_at) = executed.read_at {
            self.check_read(now, database, &sent, executed, read_at);
        }
    }

    /// Checks that a statement which a database received was sent by a caller with this text. Returns what was sent.
    pub fn check_received(&mut self, now: Time, id: &str, text: &str) -> Option<SentStatement> {
        self.count(Invariant::UnmodifiedStatement);
        let Some(sent) = self.sent.get(id).cloned() else {
            let text = format!("{id} was never sent, with the text {text:?}");
            self.record_violation(now, Invariant::UnmodifiedStatement, text);
            return None;
        };
        if sent.text != text {
            let text = format!("text {:?} of {id} was changed to {text:?}", sent.text);
            self.record_violation(now, Invariant::UnmodifiedStatement, text);
        }
        Some(sent)
    }

    fn check_transaction(&mut self, now: Time, sent: &SentStatement, executed: &ExecutedStatement) {
        self.count(Invariant::SessionIsolation);
        let is_of_other_operation = |id: &String| {
            let other = self.sent.get(id);
            other.is_none_or(|other| other.operation != sent.operation)
        };
        if executed
            .earlier_statements
            .iter()
            .any(is_of_other_operation)
        {
            let text = format!(
                "{} ran in a transaction with {:?} of other operations",
                executed.id, executed.earlier_statements
            );
            return self.record_violation(now, Invariant::SessionIsolation, text);
        }
        if sent.in_transaction
            && (!executed.in_transaction || executed.earlier_statements != sent.before)
        {
            let text = format!(
                "{} ran after statements {:?}, expected {:?}",
                executed.id, executed.earlier_statements, sent.before
            );
            return self.record_violation(now, Invariant::SessionIsolation, text);
        }
        if executed.text != "COMMIT" && sent.values != executed.values {
            let text = format!(
                "{} ran with values {:?}, expected {:?}",
                executed.id, executed.values, sent.values
            );
            self.record_violation(now, Invariant::SessionIsolation, text);
        }
    }

    fn check_read(
        &mut self,
        now: Time,
        database: &Database,
        sent: &SentStatement,
        executed: &ExecutedStatement,
        read_at: usize,
    ) {
        self.count(Invariant::FreshRead);
        let is_required = |write: &&Acknowledged| {
            let is_own = sent.kind == ReadKind::Own && write.session == sent.session;
            let margin = if sent.kind == ReadKind::Leader || is_own {
                Duration::ZERO
            } else {
                self.staleness
            };
            write.at + margin < sent.start
        };
        let is_included = |write: &&Acknowledged| {
            let number = usize::try_from(write.entry.at.position.0).unwrap_or(usize::MAX);
            number <= read_at && database.log.get(number - 1) == Some(&write.entry)
        };
        let missed = self
            .acknowledged
            .iter()
            .find(|write| is_required(write) && !is_included(write));
        if let Some(missed) = missed {
            let text = format!(
                "{} ({:?}, started at {:?}) read {} up to {read_at} and missed {:?}, acknowledged at {:?}",
                executed.id, sent.kind, sent.start, database.id, missed.entry, missed.at
            );
            self.record_violation(now, Invariant::FreshRead, text);
        }
    }

    /// Records that a commit took effect, and checks that its writes have not been committed before.
    pub fn record_commit(&mut self, now: Time, entry: &LogEntry) {
        for id in &entry.writes {
            self.committed_at.insert(id.clone(), (now, entry.clone()));
            self.count(Invariant::AtMostOnce);
            let commits = self.commits.entry(id.clone()).or_default();
            commits.push(entry.clone());
            if commits.len() > 1 {
                let text = format!("{id} was committed more than once: {commits:?}");
                self.record_violation(now, Invariant::AtMostOnce, text);
            }
        }
    }

    /// Checks that a promotion rolled back no acknowledged commit.
    pub fn check_kept(&mut self, now: Time, rolled_back: &[LogEntry]) {
        self.count(Invariant::Kept);
        let lost = self
            .acknowledged
            .iter()
            .find(|write| rolled_back.contains(&write.entry))
            .cloned();
        if let Some(lost) = lost {
            let text = format!(
                "{:?}, acknowledged at {:?}, was rolled back",
                lost.entry, lost.at
            );
            self.record_violation(now, Invariant::Kept, text);
        }
    }

    /// Records when a term began.
    pub fn record_term_start(&mut self, now: Time, term: Term) {
        self.terms.insert(term, now);
    }

    /// Checks that no acknowledged write was committed by an old primary after the next term began.
    fn check_one_leader(&mut self, now: Time, writes: &[String]) {
        for id in writes {
            let Some((at, entry)) = self.committed_at.get(id).cloned() else {
                continue;
            };
            self.count(Invariant::OneLeader);
            let mut later = self.terms.range(Term(entry.at.term.0 + 1)..);
            if let Some((term, began)) = later.find(|(_, began)| **began < at) {
                let text = format!(
                    "{id}, committed at {at:?} as {:?}, was acknowledged although term {term} had begun at {began:?}",
                    entry.at
                );
                self.record_violation(now, Invariant::OneLeader, text);
            }
        }
    }

    /// Records that a promotion rolled back commits, which then no longer count as committed or acknowledged.
    pub fn record_rollback(&mut self, entries: &[LogEntry]) {
        for entry in entries {
            let lost = self
                .acknowledged
                .iter()
                .filter(|write| write.entry == *entry);
            self.acknowledged_then_lost += u64::try_from(lost.count()).unwrap_or(0);
            self.acknowledged.retain(|write| write.entry != *entry);
            for id in &entry.writes {
                if let Some(commits) = self.commits.get_mut(id) {
                    commits.retain(|commit| commit != entry);
                }
            }
        }
    }

    /// Records that writes were acknowledged to a caller.
    pub fn record_acknowledgement(&mut self, now: Time, session: u64, writes: &[String]) {
        self.check_one_leader(now, writes);
        let entry = writes
            .first()
            .and_then(|id| self.commits.get(id))
            .and_then(|commits| commits.first())
            .cloned();
        // A commit that was rolled back before its response arrived has no entry left.
        if let Some(entry) = entry {
            self.acknowledged.push(Acknowledged {
                at: now,
                session,
                entry,
            });
        }
    }

    /// Checks, where only planned work is under way, that a statement without a complete response did not run.
    pub fn check_cut_statement(&mut self, now: Time, id: &str) {
        self.count(Invariant::CompleteResponse);
        if self.executed.contains(id) {
            let text = format!("{id} ran, and its connection ended without a complete response");
            self.record_violation(now, Invariant::CompleteResponse, text);
        }
    }

    /// Records that an operation was reported to its caller as not run.
    pub fn record_not_run(&mut self, operation: u64) {
        self.count(Invariant::NotRunGuarantee);
        self.reported_not_run.insert(operation);
    }

    /// At the end of a run, checks that no write that was reported as not run is committed.
    pub fn check_not_run_guarantees(&mut self, now: Time) {
        let broken: Vec<_> = self
            .commits
            .iter()
            .filter(|(_, commits)| !commits.is_empty())
            .filter_map(|(id, _)| self.sent.get(id).map(|sent| (id, sent.operation)))
            .filter(|(_, operation)| self.reported_not_run.contains(operation))
            .map(|(id, _)| id.clone())
            .collect();
        for id in broken {
            let committed = self.committed_at.get(&id).map(|(at, entry)| (at, entry.at));
            let text =
                format!("{id} is committed (at {committed:?}) although it was reported as not run");
            self.record_violation(now, Invariant::NotRunGuarantee, text);
        }
    }

    /// Records a promotion request, and checks that its fencing token was not used before.
    pub fn record_promotion(&mut self, now: Time, token: u64, decision: String) {
        self.count(Invariant::UniqueToken);
        let known = self.decisions.get(&token).cloned();
        if let Some(known) = known {
            let text = format!("token {token} was used twice: {known}, then {decision}");
            self.record_violation(now, Invariant::UniqueToken, text);
        }
        self.decisions.insert(token, decision);
    }
}
