//! The store's state machine on virtual time.

use std::time::Duration;

use serde_json::json;
use stairward_standins::platform::{
    Machine, MachineState, ObjectAnswer, ObjectStore, StoreConfig, StoreEffect, StoreEvent,
    StoreFault, StoreRequest,
};
use stairward_types::{RegionName, Time, ZoneName};

fn request(number: u64, request: StoreRequest) -> StoreEvent {
    StoreEvent::Request { number, request }
}

fn put(number: u64, if_version: u64) -> StoreEvent {
    request(
        number,
        StoreRequest::Put {
            name: "settings".to_owned(),
            if_version,
            value: json!(number),
        },
    )
}

fn answer(number: u64, answer: ObjectAnswer) -> StoreEffect {
    StoreEffect::Answer { number, answer }
}

#[test]
fn a_slow_store_takes_effect_late() {
    let mut store = ObjectStore::new(StoreConfig::default());
    let added = Duration::from_millis(250);
    store.handle(Time::ZERO, StoreEvent::Fault(StoreFault::Slow(added)));
    assert!(store.handle(Time::ZERO, put(1, 0)).is_empty());
    assert_eq!(store.version("settings"), 0);
    assert_eq!(store.wake_at(), Some(Time::from_millis(250)));
    let effects = store.handle(Time::from_millis(250), StoreEvent::Wake);
    assert_eq!(effects, [answer(1, ObjectAnswer::Written { version: 1 })]);
}

#[test]
fn a_silent_store_answers_nothing_and_changes_nothing() {
    let mut store = ObjectStore::new(StoreConfig::default());
    store.handle(Time::ZERO, StoreEvent::Fault(StoreFault::Silent));
    assert!(store.handle(Time::ZERO, put(1, 0)).is_empty());
    let effects = store.handle(Time::from_millis(9), StoreEvent::Fault(StoreFault::Heal));
    assert_eq!(effects, [StoreEffect::Close { number: 1 }]);
    assert_eq!(store.version("settings"), 0);
}

#[test]
fn of_racing_writes_one_wins() {
    let mut store = ObjectStore::new(StoreConfig::default());
    let first = store.handle(Time::ZERO, put(1, 0));
    let second = store.handle(Time::ZERO, put(2, 0));
    assert_eq!(first, [answer(1, ObjectAnswer::Written { version: 1 })]);
    assert_eq!(second, [answer(2, ObjectAnswer::Conflict { version: 1 })]);
}

#[test]
fn an_abandoned_watch_frees_its_place() {
    let config = StoreConfig {
        reader_limit: 1,
        ..StoreConfig::default()
    };
    let mut store = ObjectStore::new(config);
    let watch = StoreRequest::Watch {
        name: "settings".to_owned(),
        after: 0,
        timeout: Duration::from_secs(9),
    };
    assert!(store.handle(Time::ZERO, request(1, watch)).is_empty());
    let refused = store.handle(Time::ZERO, request(2, StoreRequest::List));
    let retry_after = config.retry_after;
    assert_eq!(
        refused,
        [answer(2, ObjectAnswer::TooManyReaders { retry_after })]
    );
    store.handle(Time::ZERO, StoreEvent::Abandoned { number: 1 });
    let listed = store.handle(Time::ZERO, request(3, StoreRequest::List));
    assert_eq!(listed, [answer(3, ObjectAnswer::Listed(Vec::new()))]);
}

#[test]
fn the_list_of_machines_lags() {
    let mut store = ObjectStore::new(StoreConfig::default());
    let machine = Machine {
        address: "127.0.0.1:7001".parse().unwrap(),
        state: MachineState::Leaving,
        region: RegionName::new("kul").unwrap(),
        zone: ZoneName::new("kul-a").unwrap(),
    };
    let machines = vec![machine];
    let lag = Duration::from_millis(500);
    store.handle(Time::ZERO, StoreEvent::Fault(StoreFault::MachineLag(lag)));
    let set = StoreRequest::SetMachines {
        machines: machines.clone(),
    };
    store.handle(Time::ZERO, request(1, set));
    let early = store.handle(Time::from_millis(499), request(2, StoreRequest::Machines));
    assert_eq!(early, [answer(2, ObjectAnswer::Machines(Vec::new()))]);
    let late = store.handle(Time::from_millis(500), request(3, StoreRequest::Machines));
    assert_eq!(late, [answer(3, ObjectAnswer::Machines(machines))]);
}
