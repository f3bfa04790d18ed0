//! Evacuated zones: no new work is sent there, and open transactions end in time with a correct answer.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use stairward_engine::{
    BackendCommand, Event, ResponseResult, SessionId, StatementKind, TransactionStatus,
};
use stairward_testing::check;
use stairward_types::{ResultCode, Time, ZoneName};
use support::{BOUNDED, FAR_REPLICA, Harness, LEADER_READS, PRIMARY, Sent, at, done, evacuated};

/// Zone of the primary and the near replica.
const NEAR: &str = "zone-a";
const FAR: &str = "zone-b";
/// Interval at which the checker inspects sent commands.
const STEP: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(1);

fn evacuate(harness: &mut Harness, zones: &[&str]) {
    let zones = zones.iter().map(|zone| ZoneName::new(*zone).unwrap());
    harness.handle(evacuated(zones.collect()));
}

fn with_proof() -> Harness {
    let mut harness = Harness::new();
    harness.prove_position(at(1, 5));
    harness.sent.clear();
    harness
}

/// The back end that a bounded read is sent to now.
fn read(harness: &mut Harness) -> String {
    let session = harness.open(BOUNDED);
    harness.submit(session, StatementKind::Read);
    let sent = harness.answer(done(TransactionStatus::Idle, at(1, 5)));
    harness.response();
    sent.backend.as_str().to_owned()
}

#[test]
fn reads_leave_an_evacuated_zone_at_once() {
    let mut harness = with_proof();
    assert_ne!(read(&mut harness), FAR_REPLICA);
    evacuate(&mut harness, &[NEAR]);
    assert_eq!(read(&mut harness), FAR_REPLICA);
}

#[test]
fn a_zone_returned_to_service_is_used_again() {
    let mut harness = with_proof();
    evacuate(&mut harness, &[NEAR]);
    harness.advance(LIMIT * 2);
    evacuate(&mut harness, &[]);
    harness.prove_position(at(1, 6));
    assert_ne!(read(&mut harness), FAR_REPLICA);
}

#[test]
fn a_repeated_evacuation_has_its_full_time_limit() {
    let mut harness = with_proof();
    evacuate(&mut harness, &[NEAR]);
    harness.advance(LIMIT * 2);
    evacuate(&mut harness, &[]);
    evacuate(&mut harness, &[NEAR]);
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.sent[0].backend.as_str(), PRIMARY);
}

#[test]
fn an_evacuated_leader_serves_until_the_limit_and_not_after() {
    let mut harness = with_proof();
    evacuate(&mut harness, &[NEAR]);
    harness.prove_position(at(1, 6));
    harness.advance(LIMIT);
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    harness.advance(Duration::from_millis(200));
    assert_eq!(harness.refusal(), ResultCode::BackendUnavailable);
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
}

#[test]
fn an_idle_transaction_is_rolled_back_at_the_limit_and_its_client_told() {
    let mut harness = with_proof();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 5));
    evacuate(&mut harness, &[NEAR]);
    harness.advance(LIMIT / 2);
    assert!(harness.sent.is_empty(), "{:?}", harness.sent);
    harness.advance(LIMIT / 2);
    assert_eq!(harness.sent[0].command, BackendCommand::Rollback);
    harness.answer(done(TransactionStatus::Idle, at(1, 5)));
    harness.submit(session, StatementKind::Write);
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_transaction_that_was_busy_at_the_limit_ends_at_its_next_statement() {
    let mut harness = with_proof();
    let session = harness.open(LEADER_READS);
    harness.begin(session, false, at(1, 5));
    evacuate(&mut harness, &[NEAR]);
    harness.advance(LIMIT - Duration::from_millis(100));
    harness.submit(session, StatementKind::Read);
    harness.advance(Duration::from_millis(200));
    harness.answer(done(TransactionStatus::Open, at(1, 5)));
    harness.response();
    harness.submit(session, StatementKind::Commit);
    assert_eq!(harness.refusal(), ResultCode::TransactionLost);
    let commands: Vec<_> = harness.sent.iter().map(|sent| &sent.command).collect();
    assert_eq!(commands, [&BackendCommand::Rollback]);
}

#[test]
fn nothing_is_sent_anywhere_while_every_zone_is_evacuated() {
    let mut harness = with_proof();
    evacuate(&mut harness, &[NEAR, FAR]);
    harness.advance(LIMIT);
    harness.sent.clear();
    for database in [LEADER_READS, BOUNDED] {
        let session = harness.open(database);
        harness.submit(session, StatementKind::Read);
        harness.advance(Duration::from_millis(200));
        let refused = harness.response();
        assert!(matches!(refused.result, ResponseResult::Refused { .. }));
    }
    let work: Vec<_> = harness
        .sent
        .iter()
        .filter(|sent| is_work(&sent.command))
        .collect();
    assert!(work.is_empty(), "{work:?}");
}

#[test]
fn an_unknown_zone_changes_nothing() {
    let mut harness = with_proof();
    evacuate(&mut harness, &["nowhere"]);
    harness.advance(LIMIT);
    harness.prove_position(at(1, 6));
    assert_ne!(read(&mut harness), FAR_REPLICA);
}

/// Whether a command runs or starts a client's work.
fn is_work(command: &BackendCommand) -> bool {
    matches!(
        command,
        BackendCommand::Run { .. } | BackendCommand::Execute { .. } | BackendCommand::Begin { .. }
    )
}

/// A harness with a checker that knows when each zone was evacuated.
struct Checked {
    harness: Harness,
    evacuated_at: [Option<Time>; 2],
    sessions: Vec<SessionId>,
    /// Unanswered commands, in sending order.
    pending: VecDeque<Sent>,
}

impl Checked {
    fn step(&mut self, kind: u8, detail: u8) {
        let harness = &mut self.harness;
        let session = self.sessions[usize::from(detail) % self.sessions.len()];
        match kind % 10 {
            0 => {
                let flags = [detail & 1 != 0, detail & 2 != 0];
                let named = [NEAR, FAR].into_iter().zip(flags);
                let zones: Vec<_> = named.filter(|(_, is)| *is).map(|(zone, _)| zone).collect();
                for (since, is) in self.evacuated_at.iter_mut().zip(flags) {
                    *since = is.then(|| since.unwrap_or(harness.now));
                }
                evacuate(harness, &zones);
            }
            1 | 2 => return self.advance(detail),
            3 => drop(harness.submit(session, StatementKind::Write)),
            4 => drop(harness.submit(session, StatementKind::Read)),
            5 => drop(harness.submit(
                session,
                StatementKind::Begin {
                    read_only: detail & 4 != 0,
                },
            )),
            6 => drop(harness.submit(session, StatementKind::Commit)),
            _ => self.answer(),
        }
        self.check_sent();
    }

    /// Advances the time by up to a second, checking sent commands.
    fn advance(&mut self, detail: u8) {
        for _ in 0..u32::from(detail) / 5 {
            self.harness.advance(STEP);
            self.check_sent();
        }
    }

    /// Answers the oldest command as a back end would.
    fn answer(&mut self) {
        let Some(sent) = self.pending.pop_front() else {
            return;
        };
        if self.harness.closed_connections.contains(&sent.connection) {
            return;
        }
        let status = match sent.command {
            BackendCommand::Begin { .. } => TransactionStatus::Open,
            _ => TransactionStatus::Idle,
        };
        self.harness.handle(Event::Reply {
            connection: sent.connection,
            reply: done(status, at(1, 9)),
        });
    }

    /// Checks the commands sent in the last step.
    fn check_sent(&mut self) {
        for sent in std::mem::take(&mut self.harness.sent) {
            let zone = usize::from(sent.backend.as_str() == FAR_REPLICA);
            let since = self.evacuated_at[zone];
            let is_late = since.is_some_and(|since| self.harness.now >= since + LIMIT + STEP);
            let is_wrong = is_late && is_work(&sent.command);
            assert!(
                !is_wrong,
                "{sent:?} at {:?}, evacuated at {since:?}",
                self.harness.now
            );
            self.pending.push_back(sent);
        }
    }
}

#[test]
fn no_work_is_ever_sent_to_an_evacuated_zone_after_the_limit() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut harness = with_proof();
        let sessions = vec![harness.open(LEADER_READS), harness.open(BOUNDED)];
        let mut checked = Checked {
            harness,
            evacuated_at: [None; 2],
            sessions,
            pending: VecDeque::new(),
        };
        for (kind, detail) in steps {
            checked.step(*kind, *detail);
        }
    });
}

#[test]
fn remaining_activity_in_an_evacuated_zone_is_reported() {
    let mut harness = with_proof();
    evacuate(&mut harness, &[NEAR]);
    let session = harness.open(LEADER_READS);
    harness.submit(session, StatementKind::Write);
    let work = harness.engine.evacuated_zone_activity();
    let zones: BTreeSet<_> = work.keys().map(ZoneName::as_str).collect();
    assert_eq!(zones, BTreeSet::from([NEAR]));
    let near = work.values().next().unwrap();
    assert_eq!((near.statements, near.connections), (1, 2));
}
