//! Each checker accepts a small valid history and reports a violation in a small invalid one.

use stairward_checker::{
    CallerTransactionKind, History, HistoryEvent, HistoryRecord, Invariant, Outcome, Recorder,
    RequestId, RowSeen, RowWritten, SessionId, TransactionId, check,
};
use stairward_types::{
    AdminState, BackendId, GroupId, LogPosition, NodeId, ResultCode, Revision, Term, Time,
};

const PROXY: NodeId = NodeId(1);
const OTHER_PROXY: NodeId = NodeId(2);

/// Builds a history with one event per millisecond.
#[derive(Default)]
struct HistoryBuilder {
    records: Vec<HistoryRecord>,
    milliseconds: u64,
}

impl HistoryBuilder {
    fn then(mut self, event: HistoryEvent) -> Self {
        self.milliseconds += 1;
        self.records.push(HistoryRecord {
            at: Time::from_millis(self.milliseconds),
            event,
        });
        self
    }

    fn wait(mut self, milliseconds: u64) -> Self {
        self.milliseconds += milliseconds;
        self
    }

    fn sent(self, request: u64, kind: CallerTransactionKind) -> Self {
        self.sent_with(request, kind, None)
    }

    fn sent_with(self, request: u64, kind: CallerTransactionKind, key: Option<&str>) -> Self {
        let writes = match kind {
            CallerTransactionKind::Read => Vec::new(),
            _ => vec![RowWritten {
                key: "bookmark".to_owned(),
                version: request,
            }],
        };
        self.then(HistoryEvent::RequestSent {
            request: RequestId(request),
            session: SessionId(1),
            proxy: PROXY,
            group: group(),
            kind,
            repeatable: false,
            request_key: key.map(str::to_owned),
            writes,
        })
    }

    fn ran(self, request: u64, transaction: u64) -> Self {
        self.then(HistoryEvent::StatementRan {
            group: group(),
            backend: backend(),
            connection: 1,
            transaction: TransactionId(transaction),
            autocommit: true,
            request: Some(RequestId(request)),
        })
    }

    fn committed(self, transaction: u64, term: u64, position: u64) -> Self {
        self.then(HistoryEvent::Committed {
            group: group(),
            backend: backend(),
            transaction: TransactionId(transaction),
            term: Term(term),
            position: LogPosition(position),
        })
    }

    fn elected(self, term: u64, log_start: u64) -> Self {
        self.then(HistoryEvent::Elected {
            group: group(),
            term: Term(term),
            backend: backend(),
            log_start: LogPosition(log_start),
            continues: None,
        })
    }

    fn ended(self, request: u64, outcome: Outcome) -> Self {
        self.ended_with(request, outcome, None, 0, Some(request))
    }

    fn ended_with(
        self,
        request: u64,
        outcome: Outcome,
        code: Option<ResultCode>,
        version: u64,
        echo: Option<u64>,
    ) -> Self {
        let reads = match version {
            0 => Vec::new(),
            version => vec![RowSeen {
                key: "bookmark".to_owned(),
                version,
            }],
        };
        self.then(HistoryEvent::RequestEnded {
            request: RequestId(request),
            outcome,
            code: code.map(ResultCode::number),
            echo: echo.map(RequestId),
            rows_expected: Some(1),
            rows_received: 1,
            reads,
        })
    }

    /// A complete write: sent, run, committed and acknowledged.
    fn write(self, request: u64, term: u64, position: u64) -> Self {
        self.sent(request, CallerTransactionKind::Write)
            .ran(request, request)
            .committed(request, term, position)
            .ended(request, Outcome::Answered)
    }

    fn read(self, request: u64, version: u64) -> Self {
        self.sent(request, CallerTransactionKind::Read)
            .ran(request, request)
            .ended_with(request, Outcome::Answered, None, version, Some(request))
    }

    fn history(self) -> History {
        let recorder = Recorder::new();
        for record in self.records {
            recorder.record(record.at, record.event);
        }
        recorder.history()
    }
}

fn group() -> GroupId {
    GroupId::new("reader-core-1").unwrap()
}

fn backend() -> BackendId {
    BackendId::new("reader-core-1-a").unwrap()
}

#[track_caller]
fn assert_clean(invariant: Invariant, builder: HistoryBuilder) {
    let report = check(&builder.history());
    assert!(report.is_clean(), "{:?}", report.examples);
    assert_ne!(report.observation_count(invariant), 0);
}

#[track_caller]
fn assert_violated(invariant: Invariant, builder: HistoryBuilder) {
    let report = check(&builder.history());
    assert_ne!(report.violation_count(invariant), 0);
    let example = report
        .examples
        .iter()
        .find(|example| example.invariant == invariant);
    assert!(!example.unwrap().text.is_empty());
}

#[test]
fn own_reads_catches_a_read_older_than_an_acknowledged_write() {
    let written = || HistoryBuilder::default().write(5, 1, 10);
    assert_clean(Invariant::OwnReads, written().read(6, 5));
    assert_violated(Invariant::OwnReads, written().read(6, 4));
}

#[test]
fn own_reads_ignores_a_write_acknowledged_after_the_read_was_sent() {
    let builder = HistoryBuilder::default()
        .sent(5, CallerTransactionKind::Write)
        .ran(5, 5)
        .committed(5, 1, 10)
        .sent(6, CallerTransactionKind::Read)
        .ended(5, Outcome::Answered)
        .ended_with(6, Outcome::Answered, None, 4, Some(6))
        .read(7, 5);
    assert_clean(Invariant::OwnReads, builder);
}

#[test]
fn replaced_primary_ack_catches_a_write_outside_the_surviving_log() {
    let written = || HistoryBuilder::default().elected(1, 0).write(5, 1, 10);
    assert_clean(Invariant::ReplacedPrimaryAck, written().elected(2, 10));
    assert_violated(Invariant::ReplacedPrimaryAck, written().elected(2, 9));
}

#[test]
fn replaced_primary_ack_catches_a_commit_after_the_next_election() {
    let before = || HistoryBuilder::default().elected(1, 0);
    assert_clean(
        Invariant::ReplacedPrimaryAck,
        before().elected(2, 20).write(5, 2, 25),
    );
    assert_violated(
        Invariant::ReplacedPrimaryAck,
        before().elected(2, 20).write(5, 1, 10),
    );
}

#[test]
fn replaced_primary_ack_catches_an_acknowledgement_without_commit() {
    let builder = HistoryBuilder::default()
        .sent(5, CallerTransactionKind::Write)
        .ended(5, Outcome::Answered);
    assert_violated(Invariant::ReplacedPrimaryAck, builder);
}

#[test]
fn replaced_primary_ack_catches_a_write_outside_the_log_that_an_election_continues() {
    let elected = |continues| HistoryEvent::Elected {
        group: group(),
        term: Term(3),
        backend: backend(),
        log_start: LogPosition(10),
        continues,
    };
    let written = || {
        HistoryBuilder::default()
            .elected(1, 0)
            .write(5, 1, 10)
            .elected(2, 9)
    };
    assert_clean(
        Invariant::ReplacedPrimaryAck,
        written().then(elected(Some(Term(1)))),
    );
    assert_violated(
        Invariant::ReplacedPrimaryAck,
        written().then(elected(Some(Term(2)))),
    );
}

#[test]
fn mixed_transactions_catches_two_requests_in_one_transaction() {
    let first = || HistoryBuilder::default().ran(5, 1).ran(5, 1);
    assert_clean(Invariant::MixedTransactions, first().ran(6, 2));
    assert_violated(Invariant::MixedTransactions, first().ran(6, 1));
}

#[test]
fn foreign_answer_catches_a_wrong_echo_and_missing_rows() {
    let sent = || HistoryBuilder::default().sent(5, CallerTransactionKind::Read);
    assert_clean(Invariant::ForeignAnswer, sent().ended(5, Outcome::Answered));
    assert_violated(
        Invariant::ForeignAnswer,
        sent().ended_with(5, Outcome::Answered, None, 0, Some(6)),
    );
    let half = HistoryEvent::RequestEnded {
        request: RequestId(5),
        outcome: Outcome::Answered,
        code: None,
        echo: Some(RequestId(5)),
        rows_expected: Some(10),
        rows_received: 4,
        reads: Vec::new(),
    };
    assert_violated(Invariant::ForeignAnswer, sent().then(half));
}

#[test]
fn foreign_answer_catches_a_second_answer() {
    let builder = HistoryBuilder::default()
        .sent(5, CallerTransactionKind::Read)
        .ended(5, Outcome::Answered)
        .ended(5, Outcome::Answered);
    assert_violated(Invariant::ForeignAnswer, builder);
}

#[test]
fn not_run_ran_catches_a_commit_of_a_refused_request() {
    let sent = || HistoryBuilder::default().sent(5, CallerTransactionKind::Write);
    let rolled_back = HistoryEvent::RolledBack {
        backend: backend(),
        transaction: TransactionId(1),
    };
    assert_clean(
        Invariant::NotRunRan,
        sent().ran(5, 1).then(rolled_back).ended(5, Outcome::NotRun),
    );
    assert_violated(
        Invariant::NotRunRan,
        sent()
            .ran(5, 1)
            .committed(1, 1, 10)
            .ended(5, Outcome::NotRun),
    );
}

#[test]
fn not_run_ran_catches_a_read_that_ran() {
    let sent = || HistoryBuilder::default().sent(5, CallerTransactionKind::Read);
    assert_clean(Invariant::NotRunRan, sent().ended(5, Outcome::NotRun));
    assert_violated(
        Invariant::NotRunRan,
        sent().ran(5, 1).ended(5, Outcome::NotRun),
    );
}

#[test]
fn ran_twice_catches_a_second_commit_of_a_request() {
    let once = || HistoryBuilder::default().write(5, 1, 10);
    assert_clean(Invariant::RanTwice, once());
    assert_violated(Invariant::RanTwice, once().ran(5, 9).committed(9, 1, 11));
}

#[test]
fn ran_twice_catches_a_second_surviving_commit_of_a_key() {
    let kind = CallerTransactionKind::Write;
    let twice = || {
        HistoryBuilder::default()
            .sent_with(5, kind, Some("booking-1"))
            .ran(5, 5)
            .committed(5, 1, 10)
            .sent_with(6, kind, Some("booking-1"))
    };
    let lost_first = twice().elected(2, 9).ran(6, 6).committed(6, 2, 10);
    assert_clean(Invariant::RanTwice, lost_first);
    assert_violated(Invariant::RanTwice, twice().ran(6, 6).committed(6, 1, 11));
}

#[test]
fn leaving_got_work_catches_a_transaction_begun_after_three_seconds() {
    let marked = |state| HistoryEvent::BackendMarked {
        backend: backend(),
        state,
    };
    let leaving = || HistoryBuilder::default().then(marked(AdminState::Leaving));
    assert_clean(Invariant::LeavingGotWork, leaving().wait(2_900).ran(5, 1));
    assert_violated(Invariant::LeavingGotWork, leaving().wait(3_100).ran(5, 1));
    let back = leaving().wait(3_100).then(marked(AdminState::Active));
    assert_clean(Invariant::LeavingGotWork, back.ran(5, 1));
}

#[test]
fn leaving_got_work_allows_a_running_transaction_to_finish() {
    let builder = HistoryBuilder::default()
        .then(HistoryEvent::BackendMarked {
            backend: backend(),
            state: AdminState::Leaving,
        })
        .ran(5, 1)
        .wait(10_000)
        .ran(5, 1);
    assert_clean(Invariant::LeavingGotWork, builder);
}

#[test]
fn stop_cut_request_catches_an_unanswered_request_in_flight() {
    let stopping = || {
        HistoryBuilder::default()
            .sent(5, CallerTransactionKind::Read)
            .then(HistoryEvent::StopBegan { proxy: PROXY })
    };
    let stopped = || HistoryEvent::StopEnded { proxy: PROXY };
    assert_clean(
        Invariant::StopCutRequest,
        stopping().ended(5, Outcome::Answered).then(stopped()),
    );
    assert_violated(Invariant::StopCutRequest, stopping().then(stopped()));
    assert_violated(
        Invariant::StopCutRequest,
        stopping().ended(5, Outcome::ConnectionLost),
    );
    assert_clean(
        Invariant::StopCutRequest,
        stopping().ended(5, Outcome::CallerLeft).then(stopped()),
    );
}

#[test]
fn stop_cut_request_catches_a_request_lost_by_its_stopping_owner() {
    let stopping = || {
        HistoryBuilder::default()
            .sent(5, CallerTransactionKind::Read)
            .then(HistoryEvent::RequestForwarded {
                request: RequestId(5),
                owner: OTHER_PROXY,
            })
            .then(HistoryEvent::StopBegan { proxy: OTHER_PROXY })
    };
    assert_clean(
        Invariant::StopCutRequest,
        stopping().ended(5, Outcome::Answered),
    );
    let lost = Some(ResultCode::OwnerLostAfterSend);
    assert_violated(
        Invariant::StopCutRequest,
        stopping().ended_with(5, Outcome::OutcomeUnknown, lost, 0, None),
    );
}

fn accepted(revision: u64) -> HistoryEvent {
    HistoryEvent::SettingsAccepted {
        revision: Revision(revision),
    }
}

fn applied(revision: u64) -> HistoryEvent {
    HistoryEvent::SettingsApplied {
        proxy: PROXY,
        revision: Revision(revision),
    }
}

#[test]
fn configuration_reverted_catches_an_older_revision() {
    let two = || {
        HistoryBuilder::default()
            .then(accepted(1))
            .then(accepted(2))
    };
    assert_clean(
        Invariant::ConfigurationReverted,
        two().then(applied(1)).then(applied(2)),
    );
    assert_violated(
        Invariant::ConfigurationReverted,
        two().then(applied(2)).then(applied(1)),
    );
}

#[test]
fn configuration_reverted_catches_a_revision_that_was_never_accepted() {
    let builder = HistoryBuilder::default().then(accepted(1)).then(applied(7));
    assert_violated(Invariant::ConfigurationReverted, builder);
}

#[test]
fn configuration_reverted_catches_a_revision_that_is_not_applied_in_time() {
    let started = || {
        HistoryBuilder::default()
            .then(HistoryEvent::ProxyStarted { proxy: PROXY })
            .then(accepted(1))
    };
    let late = |builder: HistoryBuilder| builder.wait(7_000).then(accepted(2));
    assert_clean(
        Invariant::ConfigurationReverted,
        late(started().then(applied(1))),
    );
    assert_violated(Invariant::ConfigurationReverted, late(started()));
}

#[test]
fn configuration_reverted_ignores_a_proxy_that_is_cut_off() {
    let builder = HistoryBuilder::default()
        .then(HistoryEvent::ProxyStarted { proxy: PROXY })
        .then(accepted(1))
        .then(HistoryEvent::ProxyFaultBegan { proxy: PROXY })
        .wait(7_000)
        .then(accepted(2))
        .then(applied(1));
    assert_clean(Invariant::ConfigurationReverted, builder);
}

#[test]
fn a_history_with_dropped_records_is_not_clean() {
    let recorder = Recorder::with_maximum_records(1);
    recorder.record(Time::ZERO, accepted(1));
    recorder.record(Time::ZERO, accepted(2));
    let report = check(&recorder.history());
    assert_eq!(report.dropped, 1);
    assert!(!report.is_clean());
}

#[test]
fn report_contains_every_invariant() {
    let report = serde_json::to_value(check(&History::default())).unwrap();
    for invariant in Invariant::ALL {
        assert_eq!(report["violations"][invariant.name()], 0);
        assert_eq!(report["checked"][invariant.name()], 0);
    }
}

#[test]
fn history_round_trips_through_json() {
    let history = HistoryBuilder::default()
        .write(5, 1, 10)
        .read(6, 5)
        .history();
    let text = serde_json::to_string(&history).unwrap();
    let back: History = serde_json::from_str(&text).unwrap();
    assert_eq!(back, history);
}
