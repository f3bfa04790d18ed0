//! Lookup tables over a history that several checkers share.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, GroupId, LogPosition, NodeId, Term, Time};

use crate::event::{
    CallerTransactionKind, HistoryEvent, Outcome, RequestId, RowSeen, RowWritten, SessionId,
    TransactionId,
};
use crate::recorder::History;

/// What the history records about one request.
pub(crate) struct Request<'a> {
    pub session: SessionId,
    pub proxy: NodeId,
    pub group: &'a GroupId,
    pub kind: CallerTransactionKind,
    pub repeatable: bool,
    pub request_key: Option<&'a str>,
    pub writes: &'a [RowWritten],
    pub sent_at: Time,
    /// Index in the history of the record that sent the request.
    pub sent_index: usize,
    /// The owner to which the request was last forwarded.
    pub last_owner: Option<NodeId>,
    /// How it ended. More than one end is a violation.
    pub ends: Vec<RequestEnd<'a>>,
}

/// How a request ended.
pub(crate) struct RequestEnd<'a> {
    pub at: Time,
    /// Index in the history of the record.
    pub index: usize,
    pub outcome: Outcome,
    pub code: Option<u16>,
    pub echo: Option<RequestId>,
    pub rows_expected: Option<u64>,
    pub rows_received: u64,
    pub reads: &'a [RowSeen],
}

/// A transaction of a back end. `requests` is empty if none of its statements belongs to a request.
#[derive(Default)]
pub(crate) struct BackendTransaction {
    pub requests: BTreeSet<RequestId>,
    pub started_at: Time,
    pub autocommit: bool,
    pub commit: Option<Commit>,
    pub rolled_back: bool,
}

/// A transaction's commit on a back end.
#[derive(Clone)]
pub(crate) struct Commit {
    pub group: GroupId,
    pub at: Time,
    pub term: Term,
    pub position: LogPosition,
}

/// The election of a group's primary.
pub(crate) struct Election {
    pub at: Time,
    pub term: Term,
    /// Last position of the log it continues.
    pub log_start: LogPosition,
    /// The term whose log it continues; if none, the term elected before it.
    pub continues: Option<Term>,
}

pub(crate) type TransactionKey<'a> = (&'a BackendId, TransactionId);

/// Requests, transactions and elections of a history by their keys.
#[derive(Default)]
pub(crate) struct Index<'a> {
    pub requests: BTreeMap<RequestId, Request<'a>>,
    pub transactions: BTreeMap<TransactionKey<'a>, BackendTransaction>,
    pub transactions_of: BTreeMap<RequestId, BTreeSet<TransactionKey<'a>>>,
    /// Each group's elections, sorted by term.
    pub elections: BTreeMap<&'a GroupId, Vec<Election>>,
}

impl<'a> Index<'a> {
    pub(crate) fn build(history: &'a History) -> Self {
        let mut index = Self::default();
        for (record_index, record) in history.records.iter().enumerate() {
            index.add(record_index, record.at, &record.event);
        }
        for elections in index.elections.values_mut() {
            elections.sort_by_key(|election| election.term);
        }
        index
    }

    fn add(&mut self, record_index: usize, at: Time, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::RequestSent { .. }
            | HistoryEvent::RequestForwarded { .. }
            | HistoryEvent::RequestEnded { .. } => self.add_request_event(record_index, at, event),
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
                let transaction = self
                    .transactions
                    .entry((backend, *transaction))
                    .or_default();
                transaction.commit = Some(Commit {
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
                let transaction = self
                    .transactions
                    .entry((backend, *transaction))
                    .or_default();
                transaction.rolled_back = true;
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

    fn add_request_event(&mut self, record_index: usize, at: Time, event: &'a HistoryEvent) {
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
                    sent_index: record_index,
                    last_owner: None,
                    ends: Vec::new(),
                };
                self.requests.insert(*request, sent);
            }
            HistoryEvent::RequestForwarded { request, owner } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.last_owner = Some(*owner);
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
                    index: record_index,
                    outcome: *outcome,
                    code: *code,
                    echo: *echo,
                    rows_expected: *rows_expected,
                    rows_received: *rows_received,
                    reads,
                };
                if let Some(request) = self.requests.get_mut(request) {
                    request.ends.push(end);
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
        let transaction = self.transactions.entry(key).or_default();
        if transaction.requests.is_empty() {
            transaction.started_at = at;
            transaction.autocommit = autocommit;
        }
        transaction.requests.insert(request);
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

    /// The commits of the back-end transactions in which statements of a request ran.
    pub(crate) fn commits_of(&self, request: RequestId) -> impl Iterator<Item = &Commit> {
        self.transactions_of(request)
            .filter_map(|transaction| transaction.commit.as_ref())
    }

    /// Whether a commit is part of its group's surviving log. Follows the latest term's log back to
    /// the commit's term; the commit must not lie after the position at which a later log branched
    /// off.
    pub(crate) fn survives(&self, commit: &Commit) -> bool {
        let Some(elections) = self.elections.get(&commit.group) else {
            return true;
        };
        let mut branch_position = LogPosition(u64::MAX);
        let mut current_term = elections.last().map_or(commit.term, |latest| latest.term);
        while current_term > commit.term {
            let Some(election) = elections
                .iter()
                .find(|election| election.term == current_term)
            else {
                return false;
            };
            branch_position = branch_position.min(election.log_start);
            current_term = election
                .continues
                .unwrap_or_else(|| term_before(elections, current_term, commit.term));
        }
        current_term == commit.term && commit.position <= branch_position
    }

    /// Whether the primary that made a commit had been replaced: a later term was elected before
    /// it.
    pub(crate) fn was_replaced(&self, commit: &Commit) -> bool {
        self.elections
            .get(&commit.group)
            .into_iter()
            .flatten()
            .any(|election| election.term > commit.term && election.at < commit.at)
    }
}

/// The term elected before `term`, but at least `first`. `first` also stands for a missing
/// election, since a group's first term needs none.
fn term_before(elections: &[Election], term: Term, first: Term) -> Term {
    elections
        .iter()
        .rev()
        .find(|election| election.term < term)
        .map_or(first, |election| election.term.max(first))
}
