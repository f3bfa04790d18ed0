//! Reviewing only the services for which a step may be due gives the same decisions as reviewing
//! all services.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_failover::{
    Effect, Event, FailoverController, FailoverOptions, FencingToken, GroupState, LEADERSHIP_LEASE,
    LeaderEvidence, MemberCallResult, MemberState, Placement, PromotionOutcome, Via,
};
use stairward_testing::check;
use stairward_types::{BackendId, BackendRole, NodeId, ServiceName, StoreRevision, Term, Time};
use support::{record_of, record_version, status};

const SERVICES: u8 = 5;

fn service(number: u8) -> ServiceName {
    ServiceName::new(format!("core-{}", number % SERVICES)).unwrap()
}

fn member(number: u8) -> BackendId {
    let (service, place) = (number % SERVICES, number / SERVICES % 3);
    BackendId::new(format!("db-{service}-{place}")).unwrap()
}

/// Groups derived from the bits of `shape` and `detail`: which member leads, is leaving, unlisted,
/// evacuated or cold.
fn groups(shape: u8, detail: u8) -> BTreeMap<ServiceName, GroupState> {
    let mut groups = BTreeMap::new();
    for number in 0..SERVICES {
        if shape == 255 && number == detail % SERVICES {
            continue;
        }
        let mut group = GroupState::default();
        for place in 0..3 {
            let is_affected = number == detail % SERVICES;
            let leads = place == if is_affected { shape % 4 } else { 0 };
            let role = if leads {
                BackendRole::Primary
            } else {
                BackendRole::Replica
            };
            let state = MemberState {
                address: ([127, 0, 0, 1], 7_000).into(),
                role,
                is_leaving: is_affected && leads && shape & 16 != 0,
                is_listed: !(is_affected && leads && shape & 32 != 0),
                revision: StoreRevision::new(0, u64::from(shape) + 1),
                placement: Placement {
                    is_evacuated: shape & 64 != 0 && place == detail % 3,
                    is_cold: shape & 8 != 0 && place == detail / 3 % 3,
                    allowed_work: u64::from(if shape & 4 != 0 {
                        detail / (place + 1)
                    } else {
                        0
                    }),
                },
            };
            group
                .members
                .insert(member(number + place * SERVICES), state);
        }
        groups.insert(service(number), group);
    }
    groups
}

fn event(kind: u8, first: u8, second: u8, token: u64) -> Event {
    let backend = member(first);
    match kind % 16 {
        0 | 1 => Event::Groups(groups(second, first)),
        2 => Event::Evidence(backend, LeaderEvidence::Silent),
        3 => Event::Evidence(backend, LeaderEvidence::Refused),
        4 => Event::Evidence(backend, LeaderEvidence::Answered),
        5 => Event::Suspicion(NodeId(u64::from(second % 4)), BTreeSet::from([backend])),
        6 => Event::LeadershipRevoked(service(first), second.is_multiple_of(2)),
        7 => {
            let record = (
                record_version(token),
                record_of(if second.is_multiple_of(3) { "b" } else { "a" }),
            );
            let records = BTreeMap::from([(service(first), record)]);
            Event::Records { era: 0, records }
        }
        8 => Event::RecordWritten(service(first), record_version(token), record_of("a")),
        9 => Event::RecordFailed(service(first)),
        10 => Event::StatusReply(backend, status(BackendRole::Replica, 1, u64::from(second))),
        11 => {
            let result = match second % 3 {
                0 => MemberCallResult::Silent,
                1 => MemberCallResult::Refused,
                _ => MemberCallResult::Answered(status(BackendRole::Replica, 1, 5).unwrap()),
            };
            Event::MemberCallEnded(backend, Via::Direct, result)
        }
        12 => Event::Promotion(
            service(first),
            FencingToken(token),
            PromotionOutcome::Accepted,
        ),
        13 => Event::NodeCount(u32::from(second) + 1),
        14 => Event::Revoked {
            service: service(first),
            term: Term(2),
            user: NodeId(u64::from(second % 4)),
            newest: Term(1),
        },
        _ => Event::Tick,
    }
}

const BEGIN: Time = Time(60_000_000);

/// A controller that has received the nodes, the records and the initial groups.
fn controller(
    handle: fn(&mut FailoverController, Time, Event) -> Vec<Effect>,
) -> FailoverController {
    let mut controller = FailoverController::new(FailoverOptions {
        leadership_lease: Some(LEADERSHIP_LEASE),
        ..FailoverOptions::new("a")
    });
    let begin = [
        Event::LeaderUsers(BTreeSet::from([NodeId(1), NodeId(2)])),
        Event::Records {
            era: 0,
            records: BTreeMap::new(),
        },
        Event::Groups(groups(0, 0)),
    ];
    for event in begin {
        handle(&mut controller, BEGIN, event);
    }
    controller
}

#[test]
fn reviewing_unsettled_services_decides_the_same_as_reviewing_all() {
    check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|steps| {
            let mut now = BEGIN;
            let mut some = controller(FailoverController::handle);
            let mut all = controller(FailoverController::handle_reviewing_all);
            for (number, (kind, first, second, pause)) in steps.iter().take(200).enumerate() {
                now = now + Duration::from_millis(u64::from(*pause) * 5);
                let token = u64::try_from(number).unwrap() + 1;
                let event = event(*kind, *first, *second, token);
                let decided = some.handle(now, event.clone());
                assert_eq!(
                    decided,
                    all.handle_reviewing_all(now, event.clone()),
                    "{event:?}"
                );
                assert_eq!(some.next_wake(now), all.next_wake(now));
            }
        });
}

/// The groups that differ from the known ones.
fn changed_groups(
    known: &BTreeMap<ServiceName, GroupState>,
    groups: &BTreeMap<ServiceName, GroupState>,
) -> BTreeMap<ServiceName, GroupState> {
    let is_changed =
        |(service, group): &(&ServiceName, &GroupState)| known.get(*service) != Some(*group);
    let changed = groups.iter().filter(is_changed);
    changed
        .map(|(service, group)| (service.clone(), group.clone()))
        .collect()
}

#[test]
fn group_updates_decide_the_same_as_complete_listings() {
    check!()
        .with_type::<Vec<(u8, u8, u8, u8)>>()
        .for_each(|steps| {
            let mut now = BEGIN;
            let (mut by_updates, mut by_listings) = (
                controller(FailoverController::handle),
                controller(FailoverController::handle),
            );
            let mut known = groups(0, 0);
            for (number, (kind, first, second, pause)) in steps.iter().take(200).enumerate() {
                now = now + Duration::from_millis(u64::from(*pause) * 5);
                let token = u64::try_from(number).unwrap() + 1;
                // A service is removed only with its configuration, which is always sent as a
                // complete listing.
                let event = match event(*kind, *first, *second % 255, token) {
                    Event::Groups(groups) => {
                        let changed = changed_groups(&known, &groups);
                        known.clone_from(&groups);
                        let decided = by_updates.handle(now, Event::GroupsChanged(changed));
                        assert_eq!(decided, by_listings.handle(now, Event::Groups(groups)));
                        continue;
                    }
                    event => event,
                };
                let decided = by_updates.handle(now, event.clone());
                assert_eq!(decided, by_listings.handle(now, event.clone()), "{event:?}");
                assert_eq!(by_updates.next_wake(now), by_listings.next_wake(now));
            }
        });
}
