//! What must hold, checked against what callers were told and what databases did.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{Term, Time};

use crate::database::{Database, Entry, Ran};

/// Something that must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A read sees what it must.
    FreshRead,
    /// A write that was promised not to be kept is not.
    Promise,
    /// A write takes effect once.
    Once,
    /// Databases run only what callers asked, unchanged.
    Unasked,
    /// Statements run in their own transaction, under their own session's values.
    OwnTransaction,
    /// No write is acknowledged that the old primary committed after another had taken over.
    OneLeader,
    /// Where replicas are synchronous, a promotion loses no acknowledged commit.
    Kept,
    /// One decision a fencing token.
    OneDecision,
    /// One node at a time writes a service's record.
    OneHolder,
    /// A configuration comes into force in time and never goes back.
    Configuration,
    /// A back end that has been leaving for long gets no new work.
    Leaving,
    /// A caller gets one answer a statement, and none besides.
    OneAnswer,
    /// A statement runs on a connection that was opened for its own tenant.
    OwnTenant,
    /// No statement runs with a key that was withdrawn.
    Key,
    /// No tenant runs more operations than its limit allows.
    Limit,
    /// No work reaches a database of a zone that has been evacuated for long.
    Evacuated,
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
pub struct Asked {
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
    entry: Entry,
}

/// The history and its checks.
#[derive(Debug)]
pub struct Checker {
    staleness: Duration,
    asked: BTreeMap<String, Asked>,
    commits: BTreeMap<String, Vec<Entry>>,
    acknowledged: Vec<Acknowledged>,
    promised: BTreeSet<u64>,
    decisions: BTreeMap<u64, String>,
    /// When each write was committed, by its statement's id.
    committed_at: BTreeMap<String, (Time, Entry)>,
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
            asked: BTreeMap::new(),
            commits: BTreeMap::new(),
            acknowledged: Vec::new(),
            promised: BTreeSet::new(),
            decisions: BTreeMap::new(),
            committed_at: BTreeMap::new(),
            terms: BTreeMap::new(),
            acknowledged_then_lost: 0,
            violations: Vec::new(),
            checked: BTreeMap::new(),
        }
    }

    /// Notes a violation.
    pub fn violate(&mut self, at: Time, invariant: Invariant, text: String) {
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
    pub fn asked_by(&self, statement: &str) -> Option<(u64, u64)> {
        let asked = self.asked.get(statement)?;
        Some((asked.session, asked.operation))
    }

    /// A caller sent a statement.
    pub fn asked(&mut self, id: String, asked: Asked) {
        self.asked.insert(id, asked);
    }

    /// A database ran a statement.
    pub fn ran(&mut self, now: Time, database: &Database, ran: &Ran) {
        self.count(Invariant::Unasked);
        let Some(asked) = self.asked.get(&ran.id).cloned() else {
            return self.violate(now, Invariant::Unasked, format!("{} was not asked", ran.id));
        };
        if asked.text != ran.text {
            let text = format!("{:?} became {:?}", asked.text, ran.text);
            self.violate(now, Invariant::Unasked, text);
        }
        self.check_transaction(now, &asked, ran);
        if let Some(read_at) = ran.read_at {
            self.check_read(now, database, &asked, ran, read_at);
        }
    }

    fn check_transaction(&mut self, now: Time, asked: &Asked, ran: &Ran) {
        self.count(Invariant::OwnTransaction);
        let is_foreign = |id: &String| {
            let other = self.asked.get(id);
            other.is_none_or(|other| other.operation != asked.operation)
        };
        if ran.beside.iter().any(is_foreign) {
            let text = format!("{} ran beside {:?}", ran.id, ran.beside);
            return self.violate(now, Invariant::OwnTransaction, text);
        }
        if asked.in_transaction && (!ran.in_transaction || ran.beside != asked.before) {
            let text = format!(
                "{} ran after {:?}, not {:?}",
                ran.id, ran.beside, asked.before
            );
            return self.violate(now, Invariant::OwnTransaction, text);
        }
        if ran.text != "COMMIT" && asked.values != ran.values {
            let text = format!(
                "{} ran under {:?}, not {:?}",
                ran.id, ran.values, asked.values
            );
            self.violate(now, Invariant::OwnTransaction, text);
        }
    }

    fn check_read(
        &mut self,
        now: Time,
        database: &Database,
        asked: &Asked,
        ran: &Ran,
        read_at: usize,
    ) {
        self.count(Invariant::FreshRead);
        let must_see = |write: &&Acknowledged| {
            let is_own = asked.kind == ReadKind::Own && write.session == asked.session;
            let margin = if asked.kind == ReadKind::Leader || is_own {
                Duration::ZERO
            } else {
                self.staleness
            };
            write.at + margin < asked.start
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
                ran.id, asked.kind, asked.start, database.id, missed.entry, missed.at
            );
            self.violate(now, Invariant::FreshRead, text);
        }
    }

    /// A commit took effect.
    pub fn committed(&mut self, now: Time, entry: &Entry) {
        for id in &entry.writes {
            self.committed_at.insert(id.clone(), (now, entry.clone()));
            self.count(Invariant::Once);
            let commits = self.commits.entry(id.clone()).or_default();
            commits.push(entry.clone());
            if commits.len() > 1 {
                let text = format!("{id} took effect at {commits:?}");
                self.violate(now, Invariant::Once, text);
            }
        }
    }

    /// A promotion rolled commits back that must all be kept.
    pub fn check_kept(&mut self, now: Time, rolled_back: &[Entry]) {
        self.count(Invariant::Kept);
        let lost = self
            .acknowledged
            .iter()
            .find(|write| rolled_back.contains(&write.entry))
            .cloned();
        if let Some(lost) = lost {
            let text = format!("{:?}, acknowledged at {:?}, is lost", lost.entry, lost.at);
            self.violate(now, Invariant::Kept, text);
        }
    }

    /// A term has begun.
    pub fn term_began(&mut self, now: Time, term: Term) {
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
                self.violate(now, Invariant::OneLeader, text);
            }
        }
    }

    /// A promotion rolled commits back: they no longer count.
    pub fn rolled_back(&mut self, entries: &[Entry]) {
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
    pub fn acknowledged(&mut self, now: Time, session: u64, writes: &[String]) {
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
    pub fn promised(&mut self, operation: u64) {
        self.count(Invariant::Promise);
        self.promised.insert(operation);
    }

    /// At the end: no promise was broken.
    pub fn check_promises(&mut self, now: Time) {
        let broken: Vec<_> = self
            .commits
            .iter()
            .filter(|(_, commits)| !commits.is_empty())
            .filter_map(|(id, _)| self.asked.get(id).map(|asked| (id, asked.operation)))
            .filter(|(_, operation)| self.promised.contains(operation))
            .map(|(id, _)| id.clone())
            .collect();
        for id in broken {
            let text = format!("{id} is kept although the caller was promised that it is not");
            self.violate(now, Invariant::Promise, text);
        }
    }

    /// A promotion was asked for.
    pub fn decided(&mut self, now: Time, token: u64, decision: String) {
        self.count(Invariant::OneDecision);
        let known = self.decisions.get(&token).cloned();
        if let Some(known) = known {
            let text = format!("token {token}: {known}, then {decision}");
            self.violate(now, Invariant::OneDecision, text);
        }
        self.decisions.insert(token, decision);
    }
}
