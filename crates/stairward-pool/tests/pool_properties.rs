//! Properties of the pool under random sequences of events.

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

/// A pool and a simulated driver that executes its effects.
struct Harness {
    pool: BackendPool,
    mirror: PoolMirror,
    now: Time,
    next_request: u64,
    /// Modifies the effects before they are checked, to show that the checks can fail.
    tamper: fn(&mut Vec<PoolEffect>),
}

impl Harness {
    fn new(tamper: fn(&mut Vec<PoolEffect>)) -> Self {
        let mut harness = Self {
            pool: BackendPool::new(settings()),
            mirror: PoolMirror::default(),
            now: Time::from_millis(1),
            next_request: 0,
            tamper,
        };
        let _ = harness.handle(PoolEvent::LeaseHeld(true));
        let _ = harness.handle(PoolEvent::Probed(state(10)));
        harness
    }

    fn handle(&mut self, event: PoolEvent) -> Result<(), String> {
        let mut effects = self.pool.handle(self.now, event);
        let admitted = effects
            .iter()
            .filter(|effect| matches!(effect, PoolEffect::Admit { .. }));
        let running = self.mirror.running.len() + admitted.count();
        if running > SLOTS && running > self.mirror.running.len() {
            return Err(format!(
                "new work was admitted with {running} statements running"
            ));
        }
        (self.tamper)(&mut effects);
        self.mirror.note_all(&effects)?;
        self.check_limits()
    }

    fn check_limits(&self) -> Result<(), String> {
        let held = self.mirror.connections.len();
        if held > CONNECTIONS as usize || held != self.pool.connections() {
            return Err(format!(
                "{held} connections exist, the pool counts {}",
                self.pool.connections()
            ));
        }
        if !self.mirror.slot_wanted.is_empty() {
            return Err(format!(
                "{:?} wait for a slot in an open transaction",
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

    /// Performs one event chosen by two bytes.
    fn step(&mut self, kind: u8, detail: u8) -> Result<(), String> {
        match kind % 12 {
            0..=2 => self.request(detail),
            3 => self.settle_opening(detail),
            4 | 5 => self.end_batch(detail),
            6 => self.request_slot(),
            7 => self.finish_reset(),
            8 => self.finish_close(),
            9 => self.pass_time(detail),
            10 => self.handle(PoolEvent::Probed(state(10 + u64::from(detail) % 8))),
            _ => self.change_conditions(detail),
        }
    }

    fn request(&mut self, detail: u8) -> Result<(), String> {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.mirror.waiting.insert(request);
        let service = if detail.is_multiple_of(2) { "a" } else { "b" };
        self.handle(PoolEvent::Requested(ConnectionRequest {
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

    /// Requests work that only limits can refuse.
    fn request_unconditionally(&mut self, time_left: Duration) {
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
        self.handle(event).expect("within limits");
    }

    fn settle_opening(&mut self, detail: u8) -> Result<(), String> {
        let Some(connection) = self.mirror.in_use(Use::Opening) else {
            return Ok(());
        };
        if detail.is_multiple_of(4) {
            self.mirror.connections.remove(&connection);
            self.handle(PoolEvent::OpeningFailed(connection))
        } else {
            self.mirror.connections.insert(connection, Use::Idle);
            self.handle(PoolEvent::ConnectionOpened(connection))
        }
    }

    fn end_batch(&mut self, detail: u8) -> Result<(), String> {
        let Some(request) = self.mirror.running.first().copied() else {
            return Ok(());
        };
        self.mirror.running.remove(&request);
        if detail.is_multiple_of(4) {
            return self.handle(PoolEvent::SlotReleased(request));
        }
        let connection = self.mirror.admitted[&request];
        let (state, used) = match detail % 3 {
            0 => (ReturnedState::Idle, Use::Idle),
            1 => (ReturnedState::NeedsReset, Use::Resetting),
            _ => (ReturnedState::InDoubt, Use::Closing),
        };
        self.mirror.connections.insert(connection, used);
        self.mirror.admitted.remove(&request);
        self.handle(PoolEvent::Returned { request, state })
    }

    fn request_slot(&mut self) -> Result<(), String> {
        let paused = |request: &&RequestId| {
            !self.mirror.running.contains(request) && !self.mirror.slot_wanted.contains(request)
        };
        let Some(request) = self.mirror.admitted.keys().find(paused).copied() else {
            return Ok(());
        };
        self.mirror.slot_wanted.insert(request);
        self.handle(PoolEvent::SlotWanted(request))
    }

    fn finish_reset(&mut self) -> Result<(), String> {
        let Some(connection) = self.mirror.in_use(Use::Resetting) else {
            return Ok(());
        };
        self.mirror.connections.insert(connection, Use::Idle);
        self.handle(PoolEvent::ConnectionReset(connection))
    }

    fn finish_close(&mut self) -> Result<(), String> {
        let Some(connection) = self.mirror.in_use(Use::Closing) else {
            return Ok(());
        };
        self.mirror.connections.remove(&connection);
        self.handle(PoolEvent::ConnectionClosed(connection))
    }

    fn pass_time(&mut self, detail: u8) -> Result<(), String> {
        self.now = self.now + Duration::from_millis(u64::from(detail));
        self.handle(PoolEvent::Tick)
    }

    fn change_conditions(&mut self, detail: u8) -> Result<(), String> {
        match detail % 8 {
            0 => self.handle(PoolEvent::LeaseHeld(false)),
            1 => self.handle(PoolEvent::ProbeFailed),
            2 => self.handle(PoolEvent::ConfigurationTooOld(true)),
            3 => self.handle(PoolEvent::ConfigurationTooOld(false)),
            _ => self.handle(PoolEvent::LeaseHeld(true)),
        }
    }

    /// Advances time past all deadlines; no request may stay unanswered.
    fn finish(&mut self) -> Result<(), String> {
        self.now = self.now + Duration::from_secs(10);
        self.handle(PoolEvent::Tick)?;
        if self.mirror.waiting.is_empty() {
            Ok(())
        } else {
            Err(format!("{:?} were never answered", self.mirror.waiting))
        }
    }

    fn run(steps: &[(u8, u8)], tamper: fn(&mut Vec<PoolEffect>)) -> Result<(), String> {
        let mut harness = Self::new(tamper);
        for (kind, detail) in steps {
            harness.step(*kind, *detail)?;
        }
        harness.finish()
    }
}

#[test]
fn limits_hold_and_every_request_is_answered_once() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|steps| {
        Harness::run(steps, |_| {}).expect("all invariants hold");
    });
}

/// Steps that exercise the pool enough to expose each kind of tampering.
fn busy_steps() -> Vec<(u8, u8)> {
    let mut steps = Vec::new();
    for round in 0..40_u8 {
        steps.extend([(0, 201), (1, 200), (3, 1), (3, 1), (4, 3), (6, 0), (8, 0)]);
        steps.push((9, round % 3));
    }
    steps
}

#[test]
fn the_checks_detect_tampered_effects() {
    Harness::run(&busy_steps(), |_| {}).expect("all invariants hold without tampering");
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
        Harness::run(&steps, tamper).expect_err("tampering is detected");
    }
}

/// Runs services that always have waiting requests, and counts the requests served for each.
fn served_by_weight(weights: &[(&str, u32)], turns: usize) -> BTreeMap<String, usize> {
    let mut harness = Harness::new(|_| {});
    let mut served = BTreeMap::new();
    let mut names = BTreeMap::new();
    for _ in 0..turns {
        for (service, weight) in weights {
            let request = RequestId(harness.next_request);
            harness.next_request += 1;
            names.insert(request, (*service).to_owned());
            harness.mirror.waiting.insert(request);
            harness
                .handle(PoolEvent::Requested(ConnectionRequest {
                    request,
                    service: ServiceName::new(*service).expect("a valid name"),
                    weight: *weight,
                    access: AccessClass::Read,
                    floor: None,
                    expected_term: Term(0),
                    deadline: harness.now + Duration::from_secs(60),
                    freshness_wait: Duration::ZERO,
                }))
                .expect("within limits");
        }
        harness.settle_opening(1).expect("within limits");
        if let Some(request) = harness.mirror.running.first().copied() {
            *served.entry(names[&request].clone()).or_default() += 1;
            harness.end_batch(3).expect("within limits");
        }
    }
    served
}

#[test]
fn saturated_services_are_served_in_proportion_to_weight() {
    let served = served_by_weight(&[("heavy", 3), ("light", 1)], 4_000);
    let (heavy, light) = (served["heavy"], served["light"]);
    let ratio = heavy * 100 / light;
    assert!((270..=330).contains(&ratio), "{heavy} to {light}");
}

#[test]
fn a_flood_of_one_service_does_not_starve_another() {
    let served = served_by_weight(
        &[("flood", 1), ("flood", 1), ("flood", 1), ("calm", 1)],
        2_000,
    );
    let (flood, calm) = (served["flood"], served["calm"]);
    assert!(calm * 100 >= flood * 90, "{calm} beside {flood}");
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_immediately() {
    let mut harness = Harness::new(|_| {});
    for _ in 0..CONNECTIONS {
        harness.settle_opening(1).expect("within limits");
    }
    // Each statement takes 20 ms, so three slots do 150 statements a second.
    for _ in 0..200 {
        harness.request_unconditionally(Duration::from_secs(1));
        harness.pass_time(20).expect("within limits");
        harness.end_batch(3).expect("within limits");
    }
    assert_eq!(harness.mirror.refused, []);
    for _ in 0..10 {
        harness.request_unconditionally(Duration::from_millis(25));
    }
    let codes: Vec<ResultCode> = harness
        .mirror
        .refused
        .iter()
        .map(|(_, code)| *code)
        .collect();
    // Three run, a few are expected to meet the deadline, the others are refused without waiting.
    assert!((3..=6).contains(&codes.len()), "{codes:?}");
    assert!(codes.iter().all(|code| *code == ResultCode::Overloaded));
}
