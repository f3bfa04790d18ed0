//! What must hold, checked against what callers were told and what databases did.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{Term, Time};

use crate::database::{Database, ExecutedStatement, LogEntry};

/// Something that must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A read sees what it must.
    FreshRead,
    /// A write that was promised not to be kept is not.
    NotRunGuarantee,
    /// A write takes effect once.
    AtMostOnce,
    /// Databases run only what callers asked, unchanged.
    UnmodifiedStatement,
    /// Statements run in their own transaction, under their own session's values.
    SessionIsolation,
    /// No write is acknowledged that the old primary committed after another had taken over.
    OneLeader,
    /// Where replicas are synchronous, a promotion loses no acknowledged commit.
    Kept,
    /// One decision a fencing token.
    UniqueToken,
    /// One node at a time writes a service's record.
    SingleRecordWriter,
    /// A configuration comes into force in time and never goes back.
    Configuration,
    /// A back end that has been leaving for long gets no new work.
    Leaving,
    /// A caller gets one answer a statement, and none besides.
    OneResponse,
    /// A statement runs on a connection that was opened for its own tenant.
    TenantIsolation,
    /// No statement runs with a key that was withdrawn.
    KeyRevocation,
    /// No tenant runs more operations than its limit allows.
    TenantRateLimit,
    /// No work reaches a database of a zone that has been evacuated for long.
    ZoneEvacuation,
    /// A database that has just started gets no more requests in a second than its service allows.
    WarmUp,
}

/// A violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// What was violated.
    pub invariant: Invariant,
    /// When.
    pub at: Time,
    /// How.
    pub text: String,
}

/// What a read must see besides what is older than the staleness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadKind {
    /// Every commit acknowledged before.
    Leader,
    /// Every commit acknowledged longer than the staleness before.
    Bounded,
    /// The same, and every commit of the own session.
    Own,
}

/// What a caller sent.
#[derive(Debug, Clone)]
pub struct SentStatement {
    /// The caller's session.
    pub session: u64,
    /// The caller's operation; statements of one transaction share it.
    pub operation: u64,
    /// The statement's text.
    pub text: String,
    /// What its reads must see.
    pub kind: ReadKind,
    /// When the first byte of the read, or of its transaction, was sent.
    pub start: Time,
    /// The values that were acknowledged to the session.
    pub values: BTreeMap<String, String>,
    /// Statements of the same transaction that were answered before.
    pub before: Vec<String>,
    /// Whether it belongs to a transaction.
    pub in_transaction: bool,
}

#[derive(Debug, Clone)]
struct Acknowledged {
    at: Time,
    session: u64,
    entry: LogEntry,
}

/// The history and its checks.
#[derive(Debug)]
pub struct Checker {
    staleness: Duration,
    sent: BTreeMap<String, SentStatement>,
    commits: BTreeMap<String, Vec<LogEntry>>,
    acknowledged: Vec<Acknowledged>,
    reported_not_run: BTreeSet<u64>,
    decisions: BTreeMap<u64, String>,
    /// When each write was committed, by its statement's id.
    committed_at: BTreeMap<String, (Time, LogEntry)>,
    /// When each term began.
    terms: BTreeMap<Term, Time>,
    /// Acknowledged commits that a promotion rolled back.
    pub acknowledged_then_lost: u64,
    /// What was violated so far.
    pub violations: Vec<Violation>,
    /// How often each invariant was checked.
    pub checked: BTreeMap<Invariant, u64>,
}

impl Checker {
    /// An empty history.
    pub fn new(staleness: Duration) -> Self {
        Self {
            staleness,
            sent: BTreeMap::new(),
            commits: BTreeMap::new(),
            acknowledged: Vec::new(),
            reported_not_run: BTreeSet::new(),
            decisions: BTreeMap::new(),
            committed_at: BTreeMap::new(),
            terms: BTreeMap::new(),
            acknowledged_then_lost: 0,
            violations: Vec::new(),
            checked: BTreeMap::new(),
        }
    }

    /// Notes a violation.
    pub fn record_violation(&mut self, at: Time, invariant: Invariant, text: String) {
        self.violations.push(Violation {
            invariant,
            at,
            text,
        });
    }

    /// Notes that an invariant was checked.
    pub fn count(&mut self, invariant: Invariant) {
        *self.checked.entry(invariant).or_default() += 1;
    }

    /// The session and the operation that a statement is of.
    pub fn session_and_operation(&self, statement: &str) -> Option<(u64, u64)> {
        let sent = self.sent.get(statement)?;
        Some((sent.session, sent.operation))
    }

    /// A caller sent a statement.
    pub fn record_sent(&mut self, id: String, sent: SentStatement) {
        self.sent.insert(id, sent);
    }

    /// A database ran a statement.
    pub fn record_executed(
        &mut self,
        now: Time,
        database: &Database,
        executed: &ExecutedStatement,
    ) {
        self.count(Invariant::UnmodifiedStatement);
        let Some(sent) = self.sent.get(&executed.id).cloned() else {
            return self.record_violation(
                now,
                Invariant::UnmodifiedStatement,
                format!("{} was not asked", executed.id),
            );
        };
        if sent.text != executed.text {
            let text = format!("{:?} became {:?}", sent.text, executed.text);
            self.record_violation(now, Invariant::UnmodifiedStatement, text);
        }
        self.check_transaction(now, &sent, executed);
        if let Some(read_at) = executed.read_at {
            self.check_read(now, database, &sent, executed, read_at);
        }
    }

    fn check_transaction(&mut self, now: Time, sent: &SentStatement, executed: &ExecutedStatement) {
        self.count(Invariant::SessionIsolation);
        let is_foreign = |id: &String| {
            let other = self.sent.get(id);
            other.is_none_or(|other| other.operation != sent.operation)
        };
        if executed.earlier_statements.iter().any(is_foreign) {
            let text = format!(
                "{} ran beside {:?}",
                executed.id, executed.earlier_statements
            );
            return self.record_violation(now, Invariant::SessionIsolation, text);
        }
        if sent.in_transaction
            && (!executed.in_transaction || executed.earlier_statements != sent.before)
        {
            let text = format!(
                "{} ran after {:?}, not {:?}",
                executed.id, executed.earlier_statements, sent.before
            );
            return self.record_violation(now, Invariant::SessionIsolation, text);
        }
        if executed.text != "COMMIT" && sent.values != executed.values {
            let text = format!(
                "{} ran under {:?}, not {:?}",
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
        let must_see = |write: &&Acknowledged| {
            let is_own = sent.kind == ReadKind::Own && write.session == sent.session;
            let margin = if sent.kind == ReadKind::Leader || is_own {
                Duration::ZERO
            } else {
                self.staleness
            };
            write.at + margin < sent.start
        };
        let sees = |write: &&Acknowledged| {
            let number = usize::try_from(write.entry.at.position.0).unwrap_or(usize::MAX);
            number <= read_at && database.log.get(number - 1) == Some(&write.entry)
        };
        let missed = self
            .acknowledged
            .iter()
            .find(|write| must_see(write) && !sees(write));
        if let Some(missed) = missed {
            let text = format!(
                "{} ({:?}, from {:?}) read {} up to {read_at} without {:?}, acknowledged at {:?}",
                executed.id, sent.kind, sent.start, database.id, missed.entry, missed.at
            );
            self.record_violation(now, Invariant::FreshRead, text);
        }
    }

    /// A commit took effect.
    pub fn record_commit(&mut self, now: Time, entry: &LogEntry) {
        for id in &entry.writes {
            self.committed_at.insert(id.clone(), (now, entry.clone()));
            self.count(Invariant::AtMostOnce);
            let commits = self.commits.entry(id.clone()).or_default();
            commits.push(entry.clone());
            if commits.len() > 1 {
                let text = format!("{id} took effect at {commits:?}");
                self.record_violation(now, Invariant::AtMostOnce, text);
            }
        }
    }

    /// A promotion rolled commits back that must all be kept.
    pub fn check_kept(&mut self, now: Time, rolled_back: &[LogEntry]) {
        self.count(Invariant::Kept);
        let lost = self
            .acknowledged
            .iter()
            .find(|write| rolled_back.contains(&write.entry))
            .cloned();
        if let Some(lost) = lost {
            let text = format!("{:?}, acknowledged at {:?}, is lost", lost.entry, lost.at);
            self.record_violation(now, Invariant::Kept, text);
        }
    }

    /// A term has begun.
    pub fn record_term_start(&mut self, now: Time, term: Term) {
        self.terms.insert(term, now);
    }

    /// A write that is acknowledged was not committed at an old primary after another had taken over.
    fn check_one_leader(&mut self, now: Time, writes: &[String]) {
        for id in writes {
            let Some((at, entry)) = self.committed_at.get(id).cloned() else {
                continue;
            };
            self.count(Invariant::OneLeader);
            let mut later = self.terms.range(Term(entry.at.term.0 + 1)..);
            if let Some((term, began)) = later.find(|(_, began)| **began < at) {
                let text = format!(
                    "{id}, committed at {at:?} as {:?}, is acknowledged after term {term} began at {began:?}",
                    entry.at
                );
                self.record_violation(now, Invariant::OneLeader, text);
            }
        }
    }

    /// A promotion rolled commits back: they no longer count.
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

    /// A caller was told that a write is kept.
    pub fn record_acknowledgement(&mut self, now: Time, session: u64, writes: &[String]) {
        self.check_one_leader(now, writes);
        let entry = writes
            .first()
            .and_then(|id| self.commits.get(id))
            .and_then(|commits| commits.first())
            .cloned();
        // None where it was rolled back before its answer arrived.
        if let Some(entry) = entry {
            self.acknowledged.push(Acknowledged {
                at: now,
                session,
                entry,
            });
        }
    }

    /// A caller was promised that nothing of its operation is kept.
    pub fn record_not_run(&mut self, operation: u64) {
        self.count(Invariant::NotRunGuarantee);
        self.reported_not_run.insert(operation);
    }

    /// At the end: no promise was broken.
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
            let text = format!("{id} is kept although the caller was promised that it is not");
            self.record_violation(now, Invariant::NotRunGuarantee, text);
        }
    }

    /// A promotion was asked for.
    pub fn record_promotion(&mut self, now: Time, token: u64, decision: String) {
        self.count(Invariant::UniqueToken);
        let known = self.decisions.get(&token).cloned();
        if let Some(known) = known {
            let text = format!("token {token}: {known}, then {decision}");
            self.record_violation(now, Invariant::UniqueToken, text);
        }
        self.decisions.insert(token, decision);
    }
}
