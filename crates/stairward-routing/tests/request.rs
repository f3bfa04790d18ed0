//! The request machine: selection of back ends, retries, deadlines, hold queue and outcome classes.

use std::time::Duration;

use stairward_routing::{
    Attempt, Effect, Event, Failure, GroupRouting, Observation, Outcome, RequestMachine,
    RequestSpec, ZoneDistance,
};
use stairward_types::{
    AccessClass, AdminState, BackendId, BackendRole, Freshness, LogPosition, OutcomeClass,
    ResultCode, Term, Time,
};

fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

fn freshness(term: u64, position: u64) -> Freshness {
    Freshness::new(Term(term), LogPosition(position))
}

fn observation(role: BackendRole, position: u64, waiting: u16) -> Observation {
    Observation {
        freshness: freshness(1, position),
        role,
        waiting,
    }
}

/// Primary `a` and replicas `b` (near) and `c` (in another region), all at position 100.
fn group() -> GroupRouting {
    let mut group = GroupRouting::default();
    group.view.set_backends([
        (backend("a"), AdminState::Active, ZoneDistance::SameZone),
        (backend("b"), AdminState::Active, ZoneDistance::SameZone),
        (backend("c"), AdminState::Active, ZoneDistance::Remote),
    ]);
    group.view.confirm_primary(Term(1), backend("a"));
    let primary = observation(BackendRole::Primary, 100, 0);
    let replica = observation(BackendRole::Replica, 100, 0);
    group.view.observe(Time::ZERO, &backend("a"), primary);
    group.view.observe(Time::ZERO, &backend("b"), replica);
    group.view.observe(Time::ZERO, &backend("c"), replica);
    group
}

fn read_spec() -> RequestSpec {
    RequestSpec {
        access: AccessClass::Read,
        repeatable: true,
        may_commit: false,
        floor: Some(freshness(1, 100)),
        primary_only: false,
        deadline: Time::from_millis(1_000),
        bytes: 10,
    }
}

fn write_spec() -> RequestSpec {
    RequestSpec {
        access: AccessClass::Write,
        repeatable: false,
        may_commit: true,
        ..read_spec()
    }
}

fn sent(effects: &[Effect]) -> Option<&Attempt> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send(attempt) => Some(attempt),
        _ => None,
    })
}

fn sent_to(effects: &[Effect]) -> Option<&str> {
    sent(effects).map(|attempt| attempt.backend.as_str())
}

fn failure(effects: &[Effect]) -> Option<Failure> {
    effects.iter().find_map(|effect| match effect {
        Effect::Finish(Outcome::Failed(failure)) => Some(*failure),
        _ => None,
    })
}

fn refused(code: ResultCode) -> Event {
    Event::Refused {
        code,
        retry_after: None,
        observation: None,
    }
}

fn unknown() -> Event {
    Event::OutcomeUnknown {
        code: ResultCode::BackendLostAfterSend,
        observation: None,
    }
}

fn at(milliseconds: u64) -> Time {
    Time::from_millis(milliseconds)
}

#[test]
fn a_read_goes_to_the_nearest_fresh_replica_and_a_write_to_the_primary() {
    let mut group = group();
    let mut read = RequestMachine::new(read_spec());
    let effects = read.handle(at(1), Event::Start, &mut group, 7);
    assert_eq!(sent_to(&effects), Some("b"));
    let mut write = RequestMachine::new(write_spec());
    let effects = write.handle(at(1), Event::Start, &mut group, 7);
    assert_eq!(sent_to(&effects), Some("a"));
    assert_eq!(sent(&effects).unwrap().expected_term, Term(1));
}

#[test]
fn a_busy_near_replica_is_skipped_for_a_farther_one() {
    let mut group = group();
    let busy = observation(BackendRole::Replica, 100, 100);
    group.view.observe(at(0), &backend("b"), busy);
    let mut read = RequestMachine::new(read_spec());
    let effects = read.handle(at(1), Event::Start, &mut group, 7);
    assert_eq!(sent_to(&effects), Some("c"));
}

#[test]
fn a_leaving_back_end_gets_no_new_requests() {
    let mut group = group();
    group.view.set_backends([
        (backend("a"), AdminState::Active, ZoneDistance::SameZone),
        (backend("b"), AdminState::Leaving, ZoneDistance::SameZone),
        (backend("c"), AdminState::Joining, ZoneDistance::SameZone),
    ]);
    for random in 0..20 {
        let mut read = RequestMachine::new(read_spec());
        let effects = read.handle(at(1), Event::Start, &mut group, random);
        assert_eq!(sent_to(&effects), Some("a"));
    }
}

#[test]
fn a_read_that_no_replica_is_fresh_enough_for_goes_to_the_primary() {
    let mut group = group();
    let floor = Some(freshness(1, 200));
    let mut read = RequestMachine::new(RequestSpec {
        floor,
        ..read_spec()
    });
    let effects = read.handle(at(1), Event::Start, &mut group, 7);
    assert_ne!(sent_to(&effects), Some("a"), "a replica may catch up");
    let effects = read.handle(at(2), refused(ResultCode::NotFreshEnough), &mut group, 7);
    assert_eq!(sent_to(&effects), Some("a"));
}

#[test]
fn an_interrupted_read_is_retried_unless_its_answer_had_started() {
    for begun in [false, true] {
        let mut group = group();
        let mut read = RequestMachine::new(read_spec());
        read.handle(at(1), Event::Start, &mut group, 7);
        if begun {
            read.handle(at(2), Event::AnswerStarted, &mut group, 7);
        }
        let effects = read.handle(
            at(3),
            Event::StreamLost { request_sent: true },
            &mut group,
            7,
        );
        if begun {
            let code = failure(&effects).unwrap().code;
            assert_eq!(code.class(), OutcomeClass::OutcomeUnknown);
        } else {
            assert_eq!(sent_to(&effects), Some("c"));
        }
    }
}

#[test]
fn a_write_that_may_have_run_is_never_retried() {
    for event in [unknown(), Event::StreamLost { request_sent: true }] {
        let mut group = group();
        let mut write = RequestMachine::new(write_spec());
        write.handle(at(1), Event::Start, &mut group, 7);
        let effects = write.handle(at(2), event, &mut group, 7);
        assert_eq!(sent(&effects), None);
        let code = failure(&effects).unwrap().code;
        assert_eq!(code.class(), OutcomeClass::OutcomeUnknown);
    }
}

#[test]
fn a_repeatable_write_that_may_have_run_is_never_reported_as_not_run() {
    let mut group = group();
    let mut write = RequestMachine::new(RequestSpec {
        repeatable: true,
        ..write_spec()
    });
    write.handle(at(1), Event::Start, &mut group, 7);
    let effects = write.handle(at(2), unknown(), &mut group, 7);
    assert!(effects.contains(&Effect::FindPrimary), "{effects:?}");
    let effects = write.handle(at(1_000), Event::Tick, &mut group, 7);
    let code = failure(&effects).unwrap().code;
    assert_eq!(code, ResultCode::BackendLostAfterSend);
}

#[test]
fn a_read_that_may_have_run_is_never_reported_as_not_run() {
    let mut group = group();
    let mut read = RequestMachine::new(read_spec());
    read.handle(at(1), Event::Start, &mut group, 7);
    let lost = Event::StreamLost { request_sent: true };
    let effects = read.handle(at(2), lost, &mut group, 7);
    assert!(sent(&effects).is_some());
    let mut ended = None;
    for step in 3..100 {
        let effects = read.handle(
            at(step * 20),
            refused(ResultCode::Overloaded),
            &mut group,
            7,
        );
        ended = ended.or(failure(&effects));
    }
    let code = ended.unwrap().code;
    assert_eq!(code.class(), OutcomeClass::OutcomeUnknown);
}

#[test]
fn the_first_batch_of_a_transaction_is_retried_when_its_stream_is_lost() {
    let mut group = group();
    let spec = RequestSpec {
        may_commit: false,
        ..write_spec()
    };
    let mut begin = RequestMachine::new(spec);
    begin.handle(at(1), Event::Start, &mut group, 7);
    let effects = begin.handle(
        at(2),
        Event::StreamLost { request_sent: true },
        &mut group,
        7,
    );
    assert!(effects.contains(&Effect::FindPrimary), "{effects:?}");
    let effects = begin.handle(at(3), Event::PrimaryFound, &mut group, 7);
    assert_eq!(failure(&effects), None);
}

#[test]
fn a_write_waits_for_a_newer_primary_and_is_sent_there() {
    let mut group = group();
    let mut write = RequestMachine::new(write_spec());
    write.handle(at(1), Event::Start, &mut group, 7);
    let effects = write.handle(at(2), refused(ResultCode::PrimaryReplaced), &mut group, 7);
    assert!(effects.contains(&Effect::FindPrimary));
    assert_eq!(group.hold.len(), 1);
    group.view.confirm_primary(Term(2), backend("b"));
    let effects = write.handle(at(30), Event::PrimaryFound, &mut group, 7);
    assert_eq!(sent_to(&effects), Some("b"));
    assert_eq!(sent(&effects).unwrap().expected_term, Term(2));
    assert!(group.hold.is_empty());
}

#[test]
fn held_writes_are_released_one_after_another() {
    let mut group = group();
    group.limits.hold.release_interval = Duration::from_millis(10);
    let mut writes: Vec<RequestMachine> =
        (0..3).map(|_| RequestMachine::new(write_spec())).collect();
    group.view.suspect_primary(&backend("a"), Term(1));
    for write in &mut writes {
        write.handle(at(1), Event::Start, &mut group, 7);
    }
    group.view.confirm_primary(Term(2), backend("b"));
    let mut sent_at = Vec::new();
    for write in &mut writes {
        let effects = write.handle(at(50), Event::PrimaryFound, &mut group, 7);
        match effects.as_slice() {
            [Effect::WakeAt(moment)] => sent_at.push(*moment),
            _ => sent_at.push(at(50)),
        }
    }
    assert_eq!(sent_at, [at(50), at(60), at(70)]);
    let effects = writes[2].handle(at(70), Event::Tick, &mut group, 7);
    assert_eq!(sent_to(&effects), Some("b"));
}

#[test]
fn a_full_hold_queue_refuses_at_once_with_a_retry_time() {
    let mut group = group();
    group.limits.hold.requests = 1;
    group.view.suspect_primary(&backend("a"), Term(1));
    let mut first = RequestMachine::new(write_spec());
    first.handle(at(1), Event::Start, &mut group, 7);
    let mut second = RequestMachine::new(write_spec());
    let effects = second.handle(at(1), Event::Start, &mut group, 7);
    let failure = failure(&effects).unwrap();
    assert_eq!(failure.code, ResultCode::HoldQueueFull);
    assert!(failure.retry_after.is_some());
}

#[test]
fn waiting_for_a_primary_ends_at_its_limit_or_at_the_deadline() {
    let mut group = group();
    group.limits.hold.time = Duration::from_millis(300);
    group.view.suspect_primary(&backend("a"), Term(1));
    let mut write = RequestMachine::new(write_spec());
    let effects = write.handle(at(1), Event::Start, &mut group, 7);
    assert!(effects.contains(&Effect::WakeAt(at(301))), "{effects:?}");
    let effects = write.handle(at(301), Event::Tick, &mut group, 7);
    let ended = failure(&effects).unwrap();
    assert_eq!(ended.code, ResultCode::BackendUnavailable);
    assert!(ended.retry_after.is_some());
    assert!(group.hold.is_empty());

    group.limits.hold.time = Duration::from_secs(100);
    let mut write = RequestMachine::new(write_spec());
    let effects = write.handle(at(1), Event::Start, &mut group, 7);
    assert!(effects.contains(&Effect::WakeAt(at(1_000))), "{effects:?}");
    let effects = write.handle(at(1_000), Event::Tick, &mut group, 7);
    let ended = failure(&effects).unwrap();
    assert_eq!(ended.code, ResultCode::DeadlineBeforeSend);
}

#[test]
fn an_overloaded_primary_is_not_tried_again() {
    let mut group = group();
    let mut write = RequestMachine::new(write_spec());
    write.handle(at(1), Event::Start, &mut group, 7);
    let event = Event::Refused {
        code: ResultCode::Overloaded,
        retry_after: Some(Duration::from_millis(80)),
        observation: None,
    };
    let effects = write.handle(at(2), event, &mut group, 7);
    let failure = failure(&effects).unwrap();
    assert_eq!(failure.code, ResultCode::Overloaded);
    assert_eq!(failure.retry_after, Some(Duration::from_millis(80)));
}

#[test]
fn the_standby_owner_is_tried_when_the_owner_is_gone() {
    let mut group = group();
    let mut write = RequestMachine::new(write_spec());
    write.handle(at(1), Event::Start, &mut group, 7);
    let effects = write.handle(
        at(2),
        Event::StreamLost {
            request_sent: false,
        },
        &mut group,
        7,
    );
    assert!(sent(&effects).unwrap().use_standby);
    let effects = write.handle(at(3), refused(ResultCode::NotOwner), &mut group, 7);
    assert_eq!(sent(&effects), None);
    let effects = write.handle(at(53), Event::Tick, &mut group, 7);
    assert_eq!(sent_to(&effects), Some("a"));
}

#[test]
fn retries_are_limited_to_a_share_of_successes() {
    let mut group = group();
    let mut spent = 0;
    while group.budget.withdraw() {
        spent += 1;
    }
    assert!(spent > 0);
    let mut read = RequestMachine::new(read_spec());
    read.handle(at(1), Event::Start, &mut group, 7);
    let effects = read.handle(
        at(2),
        refused(ResultCode::BackendUnavailable),
        &mut group,
        7,
    );
    let failure = failure(&effects).unwrap();
    assert_eq!(failure.code, ResultCode::RetryBudgetSpent);
    assert!(failure.retry_after.is_some());
    for _ in 0..5 {
        group.budget.deposit();
    }
    assert!(
        group.budget.withdraw(),
        "five successes at 200 per thousand allow one retry"
    );
    assert!(!group.budget.withdraw());
}

#[test]
fn a_cancelled_request_that_was_not_sent_did_not_run() {
    let mut group = group();
    group.view.suspect_primary(&backend("a"), Term(1));
    let mut write = RequestMachine::new(write_spec());
    write.handle(at(1), Event::Start, &mut group, 7);
    let effects = write.handle(at(2), Event::Cancelled, &mut group, 7);
    let code = failure(&effects).unwrap().code;
    assert_eq!(code, ResultCode::CancelledBeforeSend);
    assert!(group.hold.is_empty());
}

#[test]
fn a_cancelled_request_that_was_sent_is_cancelled_once_and_awaited() {
    let mut group = group();
    let mut write = RequestMachine::new(write_spec());
    write.handle(at(1), Event::Start, &mut group, 7);
    let effects = write.handle(at(2), Event::Cancelled, &mut group, 7);
    assert_eq!(effects, [Effect::Cancel]);
    assert_eq!(write.handle(at(3), Event::Cancelled, &mut group, 7), []);
    let effects = write.handle(at(4), Event::Done(None), &mut group, 7);
    assert_eq!(effects, [Effect::Finish(Outcome::Answered)]);
}

#[test]
fn the_staleness_floor_uses_the_observations_of_that_time() {
    let mut group = group();
    let newer = observation(BackendRole::Primary, 300, 0);
    group.view.observe(at(500), &backend("a"), newer);
    let floor = |group: &GroupRouting, age| {
        let age = Duration::from_millis(age);
        group.view.staleness_floor(at(1_000), age)
    };
    assert_eq!(floor(&group, 100), Some(freshness(1, 300)));
    assert_eq!(floor(&group, 800), Some(freshness(1, 100)));
}

/// An event that an owner or the clock may cause at any time.
fn any_event(choice: u8) -> Event {
    match choice % 12 {
        0 => refused(ResultCode::NotFreshEnough),
        1 => refused(ResultCode::BackendLeaving),
        2 => refused(ResultCode::Overloaded),
        3 => refused(ResultCode::PrimaryReplaced),
        4 => refused(ResultCode::BackendUnavailable),
        5 => refused(ResultCode::NotOwner),
        6 => unknown(),
        7 => Event::StreamLost { request_sent: true },
        8 => Event::StreamLost {
            request_sent: false,
        },
        9 => Event::PrimaryFound,
        10 => Event::AnswerStarted,
        _ => Event::Tick,
    }
}

#[test]
fn every_request_has_one_outcome_of_the_right_class() {
    stairward_testing::check!()
        .with_type::<(bool, bool, Vec<(u8, u8, u64)>)>()
        .for_each(|(writes, repeatable, events)| {
            let mut group = group();
            let spec = if *writes { write_spec() } else { read_spec() };
            let repeatable = *repeatable || !*writes;
            let mut request = RequestMachine::new(RequestSpec { repeatable, ..spec });
            let mut now = at(1);
            let mut effects = request.handle(now, Event::Start, &mut group, 7);
            let mut may_have_run = false;
            let mut sends = 0;
            for (choice, pause, random) in events {
                sends += effects
                    .iter()
                    .filter(|effect| matches!(effect, Effect::Send(_)))
                    .count();
                now = now + Duration::from_millis(u64::from(*pause));
                let event = any_event(*choice);
                let was_sent = request.is_sent();
                let is_loss = matches!(
                    event,
                    Event::OutcomeUnknown { .. } | Event::StreamLost { request_sent: true }
                );
                effects = request.handle(now, event, &mut group, *random);
                may_have_run |= was_sent && is_loss;
                if let Some(failure) = failure(&effects) {
                    let class = failure.code.class();
                    assert!(
                        !may_have_run || class == OutcomeClass::OutcomeUnknown,
                        "{failure:?}"
                    );
                }
                if may_have_run && !repeatable {
                    assert!(request.is_finished(), "a write that may have run must end");
                }
            }
            if !request.is_finished() {
                let late = at(1_000_000);
                request.handle(late, Event::Tick, &mut group, 7);
            }
            assert!(request.is_finished());
            assert!(group.hold.is_empty());
            assert!(sends <= events.len() + 1);
        });
}
