//! Evacuated zones: nothing new is sent there, and what is open there ends in time with a true answer.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use stairward_engine::{
    BackendCommand, Event, ResponseResult, SessionId, StatementKind, TransactionStatus,
};
use stairward_testing::check;
use stairward_types::{ResultCode, Time, ZoneName};
use support::{BOUNDED, FAR_REPLICA, LEADER_READS, PRIMARY, Sent, World, at, done, evacuated};

/// Where the primary and the near replica are.
const NEAR: &str = "zone-a";
const FAR: &str = "zone-b";
/// How often a checker looks at what was sent.
const PIECE: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(1);

fn evacuate(world: &mut World, zones: &[&str]) {
    let zones = zones.iter().map(|zone| ZoneName::new(*zone).unwrap());
    world.tell(evacuated(zones.collect()));
}

fn proved() -> World {
    let mut world = World::new();
    world.prove(at(1, 5));
    world.sent.clear();
    world
}

/// Where a bounded read goes now.
fn read(world: &mut World) -> String {
    let session = world.open(BOUNDED);
    world.say(session, StatementKind::Read);
    let sent = world.answer(done(TransactionStatus::Idle, at(1, 5)));
    world.response();
    sent.backend.as_str().to_owned()
}

#[test]
fn reads_go_elsewhere_from_the_moment_it_is_heard() {
    let mut world = proved();
    assert_ne!(read(&mut world), FAR_REPLICA);
    evacuate(&mut world, &[NEAR]);
    assert_eq!(read(&mut world), FAR_REPLICA);
}

#[test]
fn a_zone_that_is_taken_back_is_used_again() {
    let mut world = proved();
    evacuate(&mut world, &[NEAR]);
    world.pass(LIMIT * 2);
    evacuate(&mut world, &[]);
    world.prove(at(1, 6));
    assert_ne!(read(&mut world), FAR_REPLICA);
}

#[test]
fn an_evacuation_that_comes_again_has_its_full_limit() {
    let mut world = proved();
    evacuate(&mut world, &[NEAR]);
    world.pass(LIMIT * 2);
    evacuate(&mut world, &[]);
    evacuate(&mut world, &[NEAR]);
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    assert_eq!(world.sent[0].backend.as_str(), PRIMARY);
}

#[test]
fn a_leader_there_serves_until_the_limit_and_nothing_after() {
    let mut world = proved();
    evacuate(&mut world, &[NEAR]);
    world.prove(at(1, 6));
    world.pass(LIMIT);
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    world.pass(Duration::from_millis(200));
    assert_eq!(world.refusal(), ResultCode::BackendUnavailable);
    assert!(world.sent.is_empty(), "{:?}", world.sent);
}

#[test]
fn a_resting_transaction_is_rolled_back_at_the_limit_and_its_client_told() {
    let mut world = proved();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 5));
    evacuate(&mut world, &[NEAR]);
    world.pass(LIMIT / 2);
    assert!(world.sent.is_empty(), "{:?}", world.sent);
    world.pass(LIMIT / 2);
    assert_eq!(world.sent[0].command, BackendCommand::Rollback);
    world.answer(done(TransactionStatus::Idle, at(1, 5)));
    world.say(session, StatementKind::Write);
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
}

#[test]
fn a_transaction_that_was_busy_at_the_limit_ends_at_its_next_statement() {
    let mut world = proved();
    let session = world.open(LEADER_READS);
    world.begin(session, false, at(1, 5));
    evacuate(&mut world, &[NEAR]);
    world.pass(LIMIT - Duration::from_millis(100));
    world.say(session, StatementKind::Read);
    world.pass(Duration::from_millis(200));
    world.answer(done(TransactionStatus::Open, at(1, 5)));
    world.response();
    world.say(session, StatementKind::Commit);
    assert_eq!(world.refusal(), ResultCode::TransactionLost);
    let commands: Vec<_> = world.sent.iter().map(|sent| &sent.command).collect();
    assert_eq!(commands, [&BackendCommand::Rollback]);
}

#[test]
fn nothing_is_sent_anywhere_while_every_zone_is_evacuated() {
    let mut world = proved();
    evacuate(&mut world, &[NEAR, FAR]);
    world.pass(LIMIT);
    world.sent.clear();
    for database in [LEADER_READS, BOUNDED] {
        let session = world.open(database);
        world.say(session, StatementKind::Read);
        world.pass(Duration::from_millis(200));
        let refused = world.response();
        assert!(matches!(refused.result, ResponseResult::Refused { .. }));
    }
    let work: Vec<_> = world
        .sent
        .iter()
        .filter(|sent| is_work(&sent.command))
        .collect();
    assert!(work.is_empty(), "{work:?}");
}

#[test]
fn an_unknown_zone_changes_nothing() {
    let mut world = proved();
    evacuate(&mut world, &["nowhere"]);
    world.pass(LIMIT);
    world.prove(at(1, 6));
    assert_ne!(read(&mut world), FAR_REPLICA);
}

/// Whether a command is a client's work, or begins some.
fn is_work(command: &BackendCommand) -> bool {
    matches!(
        command,
        BackendCommand::Run { .. } | BackendCommand::Execute { .. } | BackendCommand::Begin { .. }
    )
}

/// What is sent, seen by a checker that knows when each zone was evacuated.
struct Checked {
    world: World,
    evacuated_at: [Option<Time>; 2],
    sessions: Vec<SessionId>,
    /// Commands without an answer, as they were sent.
    pending: VecDeque<Sent>,
}

impl Checked {
    fn step(&mut self, kind: u8, detail: u8) {
        let world = &mut self.world;
        let session = self.sessions[usize::from(detail) % self.sessions.len()];
        match kind % 10 {
            0 => {
                let flags = [detail & 1 != 0, detail & 2 != 0];
                let named = [NEAR, FAR].into_iter().zip(flags);
                let zones: Vec<_> = named.filter(|(_, is)| *is).map(|(zone, _)| zone).collect();
                for (since, is) in self.evacuated_at.iter_mut().zip(flags) {
                    *since = is.then(|| since.unwrap_or(world.now));
                }
                evacuate(world, &zones);
            }
            1 | 2 => return self.pass(detail),
            3 => drop(world.say(session, StatementKind::Write)),
            4 => drop(world.say(session, StatementKind::Read)),
            5 => drop(world.say(
                session,
                StatementKind::Begin {
                    read_only: detail & 4 != 0,
                },
            )),
            6 => drop(world.say(session, StatementKind::Commit)),
            _ => self.answer(),
        }
        self.look();
    }

    /// Lets up to a second pass, looking at what is sent meanwhile.
    fn pass(&mut self, detail: u8) {
        for _ in 0..u32::from(detail) / 5 {
            self.world.pass(PIECE);
            self.look();
        }
    }

    /// Answers the oldest command as a back end would.
    fn answer(&mut self) {
        let Some(sent) = self.pending.pop_front() else {
            return;
        };
        if self.world.closed_connections.contains(&sent.connection) {
            return;
        }
        let status = match sent.command {
            BackendCommand::Begin { .. } => TransactionStatus::Open,
            _ => TransactionStatus::Idle,
        };
        self.world.tell(Event::Reply {
            connection: sent.connection,
            reply: done(status, at(1, 9)),
        });
    }

    /// Checks what was sent in the last step.
    fn look(&mut self) {
        for sent in std::mem::take(&mut self.world.sent) {
            let zone = usize::from(sent.backend.as_str() == FAR_REPLICA);
            let since = self.evacuated_at[zone];
            let is_late = since.is_some_and(|since| self.world.now >= since + LIMIT + PIECE);
            let is_wrong = is_late && is_work(&sent.command);
            assert!(
                !is_wrong,
                "{sent:?} at {:?}, evacuated at {since:?}",
                self.world.now
            );
            self.pending.push_back(sent);
        }
    }
}

#[test]
fn no_work_is_ever_sent_to_an_evacuated_zone_after_the_limit() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        let mut world = proved();
        let sessions = vec![world.open(LEADER_READS), world.open(BOUNDED)];
        let mut checked = Checked {
            world,
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
fn what_still_goes_on_in_a_zone_is_told() {
    let mut world = proved();
    evacuate(&mut world, &[NEAR]);
    let session = world.open(LEADER_READS);
    world.say(session, StatementKind::Write);
    let work = world.engine.evacuated_zone_activity();
    let zones: BTreeSet<_> = work.keys().map(ZoneName::as_str).collect();
    assert_eq!(zones, BTreeSet::from([NEAR]));
    let near = work.values().next().unwrap();
    assert_eq!((near.statements, near.connections), (1, 2));
}
