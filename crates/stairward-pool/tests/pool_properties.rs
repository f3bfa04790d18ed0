//! Properties of the pool under random work.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_pool::BackendPool;
use stairward_pool::pool::{
    BackendState, ConnectionRequest, PoolEffect, PoolEvent, PoolSettings, RequestId, ReturnedState,
};
use stairward_testing::check;
use stairward_types::{
    AccessClass, AdminState, BackendRole, Freshness, LogPosition, ResultCode, ServiceName, Term,
    Time,
};
use support::pool_mirror::{PoolMirror, Use};

const CONNECTIONS: u32 = 6;
const SLOTS: usize = 3;
const QUEUE_LIMIT: usize = 8;

fn settings() -> PoolSettings {
    PoolSettings {
        admin_state: AdminState::Active,
        connections: CONNECTIONS,
        slots: 3,
        opening_limit: 2,
        queue_limit: QUEUE_LIMIT,
        leave_timeout: Duration::from_millis(500),
    }
}

fn state(position: u64) -> BackendState {
    BackendState {
        freshness: Freshness::new(Term(1), LogPosition(position)),
        role: BackendRole::Replica,
    }
}

/// A pool with the outside world that carries its effects out.
struct World {
    pool: BackendPool,
    mirror: PoolMirror,
    now: Time,
    next_request: u64,
    /// Alters effects on their way, to show that the checks can fail.
    tamper: fn(&mut Vec<PoolEffect>),
}

impl World {
    fn new(tamper: fn(&mut Vec<PoolEffect>)) -> Self {
        let mut world = Self {
            pool: BackendPool::new(settings()),
            mirror: PoolMirror::default(),
            now: Time::from_millis(1),
            next_request: 0,
            tamper,
        };
        let _ = world.tell(PoolEvent::LeaseHeld(true));
        let _ = world.tell(PoolEvent::Probed(state(10)));
        world
    }

    fn tell(&mut self, event: PoolEvent) -> Result<(), String> {
        let mut effects = self.pool.handle(self.now, event);
        let admitted = effects
            .iter()
            .filter(|effect| matches!(effect, PoolEffect::Admit { .. }));
        let running = self.mirror.running.len() + admitted.count();
        if running > SLOTS && running > self.mirror.running.len() {
            return Err(format!("new work was begun beside {running} statements"));
        }
        (self.tamper)(&mut effects);
        self.mirror.note_all(&effects)?;
        self.check_limits()
    }

    fn check_limits(&self) -> Result<(), String> {
        let held = self.mirror.connections.len();
        if held > CONNECTIONS as usize || held != self.pool.connections() {
            return Err(format!(
                "{held} connections, {} counted",
                self.pool.connections()
            ));
        }
        if !self.mirror.slot_wanted.is_empty() {
            return Err(format!(
                "{:?} wait in a transaction",
                self.mirror.slot_wanted
            ));
        }
        if self.mirror.waiting.len() > QUEUE_LIMIT
            || self.mirror.waiting.len() != self.pool.waiting()
        {
            return Err(format!("{} requests wait", self.mirror.waiting.len()));
        }
        Ok(())
    }

    /// Does one of the things that can happen, chosen by two bytes.
    fn step(&mut self, kind: u8, detail: u8) -> Result<(), String> {
        match kind % 12 {
            0..=2 => self.request(detail),
            3 => self.settle_opening(detail),
            4 | 5 => self.end_batch(detail),
            6 => self.want_slot(),
            7 => self.finish_reset(),
            8 => self.finish_close(),
            9 => self.pass_time(detail),
            10 => self.tell(PoolEvent::Probed(state(10 + u64::from(detail) % 8))),
            _ => self.change_conditions(detail),
        }
    }

    fn request(&mut self, detail: u8) -> Result<(), String> {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.mirror.waiting.insert(request);
        let service = if detail.is_multiple_of(2) { "a" } else { "b" };
        self.tell(PoolEvent::Requested(ConnectionRequest {
            request,
            service: ServiceName::new(service).expect("a valid name"),
            weight: 1 + u32::from(detail % 3),
            access: AccessClass::Read,
            floor: Some(Freshness::new(
                Term(1),
                LogPosition(8 + u64::from(detail) % 6),
            )),
            expected_term: Term(0),
            deadline: self.now + Duration::from_millis(u64::from(detail)),
            freshness_wait: Duration::from_millis(5),
        }))
    }

    /// Asks for work that nothing but limits can refuse.
    fn request_plainly(&mut self, time_left: Duration) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.mirror.waiting.insert(request);
        let event = PoolEvent::Requested(ConnectionRequest {
            request,
            service: ServiceName::new("a").expect("a valid name"),
            weight: 1,
            access: AccessClass::Read,
            floor: None,
            expected_term: Term(0),
            deadline: self.now + time_left,
            freshness_wait: Duration::ZERO,
        });
        self.tell(event).expect("within limits");
    }

    fn settle_opening(&mut self, detail: u8) -> Result<(), String> {
        let Some(connection) = self.mirror.in_use(Use::Opening) else {
            return Ok(());
        };
        if detail.is_multiple_of(4) {
            self.mirror.connections.remove(&connection);
            self.tell(PoolEvent::OpeningFailed(connection))
        } else {
            self.mirror.connections.insert(connection, Use::Idle);
            self.tell(PoolEvent::ConnectionOpened(connection))
        }
    }

    fn end_batch(&mut self, detail: u8) -> Result<(), String> {
        let Some(request) = self.mirror.running.first().copied() else {
            return Ok(());
        };
        self.mirror.running.remove(&request);
        if detail.is_multiple_of(4) {
            return self.tell(PoolEvent::SlotReleased(request));
        }
        let connection = self.mirror.admitted[&request];
        let (state, used) = match detail % 3 {
            0 => (ReturnedState::Idle, Use::Idle),
            1 => (ReturnedState::NeedsReset, Use::Resetting),
            _ => (ReturnedState::InDoubt, Use::Closing),
        };
        self.mirror.connections.insert(connection, used);
        self.mirror.admitted.remove(&request);
        self.tell(PoolEvent::Returned { request, state })
    }

    fn want_slot(&mut self) -> Result<(), String> {
        let paused = |request: &&RequestId| {
            !self.mirror.running.contains(request) && !self.mirror.slot_wanted.contains(request)
        };
        let Some(request) = self.mirror.admitted.keys().find(paused).copied() else {
            return Ok(());
        };
        self.mirror.slot_wanted.insert(request);
        self.tell(PoolEvent::SlotWanted(request))
    }

    fn finish_reset(&mut self) -> Result<(), String> {
        let Some(connection) = self.mirror.in_use(Use::Resetting) else {
            return Ok(());
        };
        self.mirror.connections.insert(connection, Use::Idle);
        self.tell(PoolEvent::ConnectionReset(connection))
    }

    fn finish_close(&mut self) -> Result<(), String> {
        let Some(connection) = self.mirror.in_use(Use::Closing) else {
            return Ok(());
        };
        self.mirror.connections.remove(&connection);
        self.tell(PoolEvent::ConnectionClosed(connection))
    }

    fn pass_time(&mut self, detail: u8) -> Result<(), String> {
        self.now = self.now + Duration::from_millis(u64::from(detail));
        self.tell(PoolEvent::Tick)
    }

    fn change_conditions(&mut self, detail: u8) -> Result<(), String> {
        match detail % 8 {
            0 => self.tell(PoolEvent::LeaseHeld(false)),
            1 => self.tell(PoolEvent::ProbeFailed),
            2 => self.tell(PoolEvent::ConfigurationTooOld(true)),
            3 => self.tell(PoolEvent::ConfigurationTooOld(false)),
            _ => self.tell(PoolEvent::LeaseHeld(true)),
        }
    }

    /// Lets all time pass; nobody may be left without an answer.
    fn finish(&mut self) -> Result<(), String> {
        self.now = self.now + Duration::from_secs(10);
        self.tell(PoolEvent::Tick)?;
        if self.mirror.waiting.is_empty() {
            Ok(())
        } else {
            Err(format!("{:?} wait for ever", self.mirror.waiting))
        }
    }

    fn run(steps: &[(u8, u8)], tamper: fn(&mut Vec<PoolEffect>)) -> Result<(), String> {
        let mut world = Self::new(tamper);
        for (kind, detail) in steps {
            world.step(*kind, *detail)?;
        }
        world.finish()
    }
}

#[test]
fn limits_hold_and_every_request_is_answered_once() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        World::run(steps, |_| {}).expect("the pool keeps its promises");
    });
}

/// Enough of everything to make each broken variant show.
fn busy_steps() -> Vec<(u8, u8)> {
    let mut steps = Vec::new();
    for round in 0..40_u8 {
        steps.extend([(0, 201), (1, 200), (3, 1), (3, 1), (4, 3), (6, 0), (8, 0)]);
        steps.push((9, round % 3));
    }
    steps
}

#[test]
fn the_checks_notice_a_pool_that_breaks_its_promises() {
    World::run(&busy_steps(), |_| {}).expect("the steps are fine without tampering");
    let opens_too_many: fn(&mut Vec<PoolEffect>) = |effects| {
        for number in 0..u64::from(CONNECTIONS) {
            let connection = stairward_pool::pool::ConnectionId(1_000 + number);
            effects.push(PoolEffect::OpenConnection(connection));
        }
    };
    let lends_twice: fn(&mut Vec<PoolEffect>) = |effects| {
        let admitted = effects
            .iter()
            .find(|effect| matches!(effect, PoolEffect::Admit { .. }));
        effects.extend(admitted.cloned());
    };
    let forgets_to_answer: fn(&mut Vec<PoolEffect>) = |effects| {
        effects.retain(|effect| !matches!(effect, PoolEffect::Refuse { .. }));
    };
    for tamper in [opens_too_many, lends_twice, forgets_to_answer] {
        let mut steps = busy_steps();
        steps.extend((0..12).map(|_| (0, 200)));
        World::run(&steps, tamper).expect_err("tampering is noticed");
    }
}

/// Serves two services that always have work, and counts whom it served.
fn served_by_weight(weights: &[(&str, u32)], turns: usize) -> BTreeMap<String, usize> {
    let mut world = World::new(|_| {});
    let mut served = BTreeMap::new();
    let mut names = BTreeMap::new();
    for _ in 0..turns {
        for (service, weight) in weights {
            let request = RequestId(world.next_request);
            world.next_request += 1;
            names.insert(request, (*service).to_owned());
            world.mirror.waiting.insert(request);
            world
                .tell(PoolEvent::Requested(ConnectionRequest {
                    request,
                    service: ServiceName::new(*service).expect("a valid name"),
                    weight: *weight,
                    access: AccessClass::Read,
                    floor: None,
                    expected_term: Term(0),
                    deadline: world.now + Duration::from_secs(60),
                    freshness_wait: Duration::ZERO,
                }))
                .expect("within limits");
        }
        world.settle_opening(1).expect("within limits");
        if let Some(request) = world.mirror.running.first().copied() {
            *served.entry(names[&request].clone()).or_default() += 1;
            world.end_batch(3).expect("within limits");
        }
    }
    served
}

#[test]
fn services_that_always_have_work_are_served_by_weight() {
    let served = served_by_weight(&[("heavy", 3), ("light", 1)], 4_000);
    let (heavy, light) = (served["heavy"], served["light"]);
    let ratio = heavy * 100 / light;
    assert!((270..=330).contains(&ratio), "{heavy} to {light}");
}

#[test]
fn a_flood_of_one_service_does_not_shut_another_out() {
    let served = served_by_weight(
        &[("flood", 1), ("flood", 1), ("flood", 1), ("calm", 1)],
        2_000,
    );
    let (flood, calm) = (served["flood"], served["calm"]);
    assert!(calm * 100 >= flood * 90, "{calm} beside {flood}");
}

#[test]
fn work_that_cannot_be_done_in_time_is_refused_at_once() {
    let mut world = World::new(|_| {});
    for _ in 0..CONNECTIONS {
        world.settle_opening(1).expect("within limits");
    }
    // Each statement takes 20 ms, so three slots do 150 statements a second.
    for _ in 0..200 {
        world.request_plainly(Duration::from_secs(1));
        world.pass_time(20).expect("within limits");
        world.end_batch(3).expect("within limits");
    }
    assert_eq!(world.mirror.refused, []);
    for _ in 0..10 {
        world.request_plainly(Duration::from_millis(25));
    }
    let codes: Vec<ResultCode> = world.mirror.refused.iter().map(|(_, code)| *code).collect();
    // Three run, a few are expected to be done in time, the rest is refused without waiting.
    assert!((3..=6).contains(&codes.len()), "{codes:?}");
    assert!(codes.iter().all(|code| *code == ResultCode::Overloaded));
}
