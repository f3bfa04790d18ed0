//! Look-ups over a history that several checkers need.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, GroupId, LogPosition, NodeId, Term, Time};

use crate::event::{
    CallerTransactionKind, HistoryEvent, Outcome, RequestId, RowSeen, RowWritten, SessionId,
    TransactionId,
};
use crate::recorder::History;

/// All that is known of one request.
pub(crate) struct Request<'a> {
    pub session: SessionId,
    pub proxy: NodeId,
    pub group: &'a GroupId,
    pub kind: CallerTransactionKind,
    pub repeatable: bool,
    pub request_key: Option<&'a str>,
    pub writes: &'a [RowWritten],
    pub sent_at: Time,
    pub sent_index: usize,
    pub last_owner: Option<NodeId>,
    pub ends: Vec<RequestEnd<'a>>,
}

/// How a request ended.
pub(crate) struct RequestEnd<'a> {
    pub at: Time,
    pub index: usize,
    pub outcome: Outcome,
    pub code: Option<u16>,
    pub echo: Option<RequestId>,
    pub rows_expected: Option<u64>,
    pub rows_received: u64,
    pub reads: &'a [RowSeen],
}

/// A transaction of a back end.
#[derive(Default)]
pub(crate) struct BackendTransaction {
    pub requests: BTreeSet<RequestId>,
    pub started_at: Time,
    pub autocommit: bool,
    pub commit: Option<Commit>,
    pub rolled_back: bool,
}

/// A commit of a back end.
#[derive(Clone)]
pub(crate) struct Commit {
    pub group: GroupId,
    pub at: Time,
    pub term: Term,
    pub position: LogPosition,
}

/// An election of a group.
pub(crate) struct Election {
    pub at: Time,
    pub term: Term,
    pub log_start: LogPosition,
    pub continues: Option<Term>,
}

pub(crate) type TransactionKey<'a> = (&'a BackendId, TransactionId);

/// The look-ups.
#[derive(Default)]
pub(crate) struct Index<'a> {
    pub requests: BTreeMap<RequestId, Request<'a>>,
    pub transactions: BTreeMap<TransactionKey<'a>, BackendTransaction>,
    pub transactions_of: BTreeMap<RequestId, BTreeSet<TransactionKey<'a>>>,
    pub elections: BTreeMap<&'a GroupId, Vec<Election>>,
}

impl<'a> Index<'a> {
    pub(crate) fn build(history: &'a History) -> Self {
        let mut index = Self::default();
        for (position, record) in history.records.iter().enumerate() {
            index.add(position, record.at, &record.event);
        }
        for elections in index.elections.values_mut() {
            elections.sort_by_key(|election| election.term);
        }
        index
    }

    fn add(&mut self, record: usize, at: Time, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::RequestSent { .. }
            | HistoryEvent::RequestForwarded { .. }
            | HistoryEvent::RequestEnded { .. } => self.add_request_event(record, at, event),
            HistoryEvent::StatementRan {
                backend,
                transaction,
                autocommit,
                request: Some(request),
                ..
            } => self.add_statement(at, (backend, *transaction), *autocommit, *request),
            HistoryEvent::Committed {
                group,
                backend,
                transaction,
                term,
                position,
            } => {
                let known = self
                    .transactions
                    .entry((backend, *transaction))
                    .or_default();
                known.commit = Some(Commit {
                    group: group.clone(),
                    at,
                    term: *term,
                    position: *position,
                });
            }
            HistoryEvent::RolledBack {
                backend,
                transaction,
            } => {
                let known = self
                    .transactions
                    .entry((backend, *transaction))
                    .or_default();
                known.rolled_back = true;
            }
            HistoryEvent::Elected {
                group,
                term,
                log_start,
                continues,
                ..
            } => self.elections.entry(group).or_default().push(Election {
                at,
                term: *term,
                log_start: *log_start,
                continues: *continues,
            }),
            _ => {}
        }
    }

    fn add_request_event(&mut self, record: usize, at: Time, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::RequestSent {
                request,
                session,
                proxy,
                group,
                kind,
                repeatable,
                request_key,
                writes,
            } => {
                let sent = Request {
                    session: *session,
                    proxy: *proxy,
                    group,
                    kind: *kind,
                    repeatable: *repeatable,
                    request_key: request_key.as_deref(),
                    writes,
                    sent_at: at,
                    sent_index: record,
                    last_owner: None,
                    ends: Vec::new(),
                };
                self.requests.insert(*request, sent);
            }
            HistoryEvent::RequestForwarded { request, owner } => {
                if let Some(known) = self.requests.get_mut(request) {
                    known.last_owner = Some(*owner);
                }
            }
            HistoryEvent::RequestEnded {
                request,
                outcome,
                code,
                echo,
                rows_expected,
                rows_received,
                reads,
            } => {
                let end = RequestEnd {
                    at,
                    index: record,
                    outcome: *outcome,
                    code: *code,
                    echo: *echo,
                    rows_expected: *rows_expected,
                    rows_received: *rows_received,
                    reads,
                };
                if let Some(known) = self.requests.get_mut(request) {
                    known.ends.push(end);
                }
            }
            _ => {}
        }
    }

    fn add_statement(
        &mut self,
        at: Time,
        key: TransactionKey<'a>,
        autocommit: bool,
        request: RequestId,
    ) {
        let known = self.transactions.entry(key).or_default();
        if known.requests.is_empty() {
            known.started_at = at;
            known.autocommit = autocommit;
        }
        known.requests.insert(request);
        self.transactions_of.entry(request).or_default().insert(key);
    }

    /// The back-end transactions in which statements of a request ran.
    pub(crate) fn transactions_of(
        &self,
        request: RequestId,
    ) -> impl Iterator<Item = &BackendTransaction> {
        self.transactions_of
            .get(&request)
            .into_iter()
            .flatten()
            .filter_map(|key| self.transactions.get(key))
    }

    /// The commits of a request.
    pub(crate) fn commits_of(&self, request: RequestId) -> impl Iterator<Item = &Commit> {
        self.transactions_of(request)
            .filter_map(|transaction| transaction.commit.as_ref())
    }

    /// Whether a commit is part of the log that its group ended up with: follows the newest term's
    /// log back to the commit's term, where the commit must lie before the point of branching.
    pub(crate) fn survives(&self, commit: &Commit) -> bool {
        let Some(elections) = self.elections.get(&commit.group) else {
            return true;
        };
        let mut bound = LogPosition(u64::MAX);
        let mut reached = elections.last().map_or(commit.term, |newest| newest.term);
        while reached > commit.term {
            let Some(election) = elections.iter().find(|election| election.term == reached) else {
                return false;
            };
            bound = bound.min(election.log_start);
            reached = election
                .continues
                .unwrap_or_else(|| term_before(elections, reached, commit.term));
        }
        reached == commit.term && commit.position <= bound
    }

    /// Whether a term later than the commit's had been elected before the commit.
    pub(crate) fn was_replaced(&self, commit: &Commit) -> bool {
        self.elections
            .get(&commit.group)
            .into_iter()
            .flatten()
            .any(|election| election.term > commit.term && election.at < commit.at)
    }
}

/// The term elected before `term`, or `first` when nobody elected one: a group's first term needs no
/// election.
fn term_before(elections: &[Election], term: Term, first: Term) -> Term {
    elections
        .iter()
        .rev()
        .find(|election| election.term < term)
        .map_or(first, |election| election.term.max(first))
}
