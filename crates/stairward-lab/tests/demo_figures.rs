//! The demo's plan and figures, on small histories written by hand.

use std::time::Duration;

use stairward_checker::{
    CallerTransactionKind, HistoryEvent, Outcome, Recorder, RequestId, SessionId, TransactionId,
};
use stairward_lab::demo::failover::{Failover, failover_gap};
use stairward_lab::demo::fault::{FaultKind, Step, plan};
use stairward_lab::demo::observer::request_in;
use stairward_lab::demo::replica_reads;
use stairward_lab::load::tally::WriteTiming;
use stairward_types::{BackendId, GroupId, LogPosition, NodeId, Term, Time};

fn group(name: &str) -> GroupId {
    GroupId::new(name).expect("a valid name")
}

fn backend(name: &str) -> BackendId {
    BackendId::new(name).expect("a valid name")
}

fn write(due_ms: u64, ended_ms: u64, answered: bool) -> WriteTiming {
    WriteTiming {
        group: group("reader-core-1"),
        due: Duration::from_millis(due_ms),
        ended: Duration::from_millis(ended_ms),
        answered,
    }
}

#[test]
fn the_gap_runs_from_the_first_stalled_write_to_the_first_on_the_new_primary() {
    let failover = Failover {
        group: group("reader-core-1"),
        lost_at: Duration::from_millis(1000),
        elected_at: Duration::from_millis(1400),
    };
    let writes = [
        write(990, 1001, true),
        write(995, 1300, false),
        write(1010, 1450, true),
        write(1020, 1460, true),
    ];
    let gap = failover_gap(&failover, &writes);
    assert_eq!(gap, Some(Duration::from_millis(450)));
    assert_eq!(failover_gap(&failover, &writes[..2]), None);
}

#[test]
fn every_plan_exercises_each_operator_step() {
    let steps = plan(Duration::from_secs(9), &[FaultKind::PrimaryCutoff]);
    assert_eq!(steps[0].at, Duration::from_secs(3));
    assert_eq!(steps[0].step, Step::Begin(FaultKind::PrimaryCutoff));
    for wanted in [
        Step::End(FaultKind::PrimaryCutoff),
        Step::Begin(FaultKind::SettingsEdit),
        Step::Begin(FaultKind::BackendLeave),
        Step::End(FaultKind::BackendLeave),
        Step::Begin(FaultKind::PlannedStop),
        Step::End(FaultKind::PlannedStop),
        Step::SendRefused,
    ] {
        assert!(
            steps.iter().any(|planned| planned.step == wanted),
            "{wanted:?}"
        );
    }
    assert!(steps.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn fault_names_are_read_back() {
    let names = FaultKind::ALL.map(FaultKind::name);
    assert_eq!(FaultKind::parse_list(names), Ok(FaultKind::ALL.to_vec()));
    assert_eq!(FaultKind::parse_list(["none"]), Ok(Vec::new()));
    assert!(FaultKind::parse_list(["primary-cutof"]).is_err());
}

#[test]
fn the_request_is_found_in_the_comment() {
    let sql = "SELECT 1 /*request='42',stairward.repeatable='on'*/";
    assert_eq!(request_in(sql), Some(RequestId(42)));
    assert_eq!(request_in("SELECT 1"), None);
}

fn read_on(recorder: &Recorder, number: u64, place: &str, outcome: Outcome) {
    let request = RequestId(number);
    let events = [
        HistoryEvent::RequestSent {
            request,
            session: SessionId(1),
            proxy: NodeId(1),
            group: group("reader-core-1"),
            kind: CallerTransactionKind::Read,
            repeatable: true,
            request_key: None,
            writes: Vec::new(),
        },
        HistoryEvent::StatementRan {
            group: group("reader-core-1"),
            backend: backend(place),
            connection: 1,
            transaction: TransactionId(number),
            autocommit: true,
            request: Some(request),
        },
        HistoryEvent::RequestEnded {
            request,
            outcome,
            code: None,
            echo: Some(request),
            rows_expected: None,
            rows_received: 1,
            reads: Vec::new(),
        },
    ];
    for event in events {
        recorder.record(Time(number), event);
    }
}

#[test]
fn only_answered_reads_on_replicas_count_as_replica_reads() {
    let recorder = Recorder::new();
    let elected = |term: u64, place: &str| HistoryEvent::Elected {
        group: group("reader-core-1"),
        term: Term(term),
        backend: backend(place),
        log_start: LogPosition(0),
        continues: None,
    };
    recorder.record(Time(0), elected(1, "one"));
    read_on(&recorder, 1, "one", Outcome::Answered);
    read_on(&recorder, 2, "two", Outcome::Answered);
    read_on(&recorder, 3, "two", Outcome::NotRun);
    recorder.record(Time(4), elected(2, "two"));
    read_on(&recorder, 5, "two", Outcome::Answered);
    let counts = replica_reads::count(&recorder.history());
    assert_eq!((counts.reads, counts.by_replicas), (3, 1));
}
