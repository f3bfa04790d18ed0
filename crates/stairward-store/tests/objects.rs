//! Objects, watches and machines against a simulated platform store with injected faults.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::json;
use stairward_standins::platform::{StoreConfig, StoreFault};
use stairward_store::{Machine, MachineState, PlatformClient, ReadError, WriteError};
use stairward_types::{RegionName, ZoneName};
use support::{client, start_store, start_store_with};

type Object = stairward_store::VersionedObject<serde_json::Value>;

async fn get(client: &PlatformClient, name: &str) -> Option<Object> {
    client.get(name).await.expect("the store answers")
}

#[tokio::test]
async fn a_write_takes_effect_only_on_the_expected_version() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    assert_eq!(get(&client, "thing").await, None);
    let first = client.put_if_version("thing", 0, &json!({"a": 1})).await;
    let first = first.expect("written");
    let found = get(&client, "thing").await.expect("it exists");
    assert_eq!((found.version, found.value), (first, json!({"a": 1})));
    let again = client.put_if_version("thing", 0, &json!(2)).await;
    let conflict = WriteError::Conflict {
        version: first,
        may_be_own: false,
    };
    assert_eq!(again, Err(conflict));
    let second = client.put_if_version("thing", first, &json!(3)).await;
    assert!(second.expect("written") > first);
}

#[tokio::test]
async fn a_watch_returns_a_newer_version_or_none_after_its_timeout() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    let version = client.put_if_version("thing", 0, &json!(1)).await;
    let version = version.expect("written");
    let nothing_newer = client.watch::<serde_json::Value>("thing", version, Duration::ZERO);
    assert_eq!(nothing_newer.await, Ok(None));
    let hang_guard = Duration::from_secs(60);
    let watch = client.watch::<serde_json::Value>("thing", version, hang_guard);
    let newer = json!(2);
    let write = client.put_if_version("thing", version, &newer);
    let (watched, written) = tokio::join!(watch, write);
    let watched = watched.expect("the store answers").expect("it changed");
    assert_eq!(Ok(watched.version), written);
    assert_eq!(watched.value, newer);
}

#[tokio::test]
async fn a_conflict_after_a_lost_reply_is_reported_as_possibly_own() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    store.inject(StoreFault::LoseNextReply);
    let written = client.put_if_version("thing", 0, &json!(1)).await;
    let expected = WriteError::Conflict {
        version: 1,
        may_be_own: true,
    };
    assert_eq!(written, Err(expected));
    assert_eq!(
        get(&client, "thing").await.map(|found| found.version),
        Some(1)
    );
}

#[tokio::test]
async fn a_write_to_a_silent_store_has_an_unknown_outcome() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    store.inject(StoreFault::Silent);
    let written = client.put_if_version("thing", 0, &json!(1)).await;
    assert!(
        matches!(written, Err(WriteError::Unknown { .. })),
        "{written:?}"
    );
}

#[tokio::test]
async fn a_write_that_was_never_sent_is_reported_as_not_applied() {
    let client = client(vec![unused_address()]);
    let written = client.put_if_version("thing", 0, &json!(1)).await;
    let is_certain = matches!(written, Err(WriteError::NotApplied { .. }));
    assert!(is_certain, "{written:?}");
    let no_address = support::client(Vec::new());
    let written = no_address.put_if_version("thing", 0, &json!(1)).await;
    assert!(matches!(written, Err(WriteError::NotApplied { .. })));
}

#[tokio::test]
async fn reads_fail_while_the_store_is_down_and_recover_afterwards() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    store.inject(StoreFault::Down);
    let read = client.get::<serde_json::Value>("thing").await;
    assert!(
        matches!(read, Err(ReadError::Unavailable { .. })),
        "{read:?}"
    );
    store.inject(StoreFault::Heal);
    assert_eq!(get(&client, "thing").await, None);
}

#[tokio::test]
async fn the_next_address_is_used_when_one_fails() {
    let store = start_store().await;
    let client = client(vec![unused_address(), store.address()]);
    assert_eq!(get(&client, "thing").await, None);
    assert!(client.put_if_version("thing", 0, &json!(1)).await.is_ok());
}

#[tokio::test]
async fn a_reader_over_the_limit_gets_the_retry_delay() {
    let retry_after = Duration::from_secs(7);
    let store = start_store_with(StoreConfig {
        reader_limit: 0,
        retry_after,
        ..StoreConfig::default()
    })
    .await;
    let client = client(vec![store.address()]);
    let refused = ReadError::TooManyReaders { retry_after };
    let watch = client.watch::<serde_json::Value>("thing", 0, Duration::ZERO);
    assert_eq!(watch.await, Err(refused.clone()));
    let read = client.get::<serde_json::Value>("thing").await;
    assert_eq!(read, Err(refused));
}

#[tokio::test]
async fn machines_are_listed() {
    let store = start_store().await;
    let machines = vec![Machine {
        address: SocketAddr::from(([127, 0, 0, 1], 6433)),
        state: MachineState::Leaving,
        region: RegionName::new("south").expect("a name"),
        zone: ZoneName::new("south-a").expect("a name"),
    }];
    let url = format!("http://{}/machines", store.address());
    let put = reqwest::Client::new().put(url).json(&machines).send().await;
    assert!(put.expect("the store answers").status().is_success());
    let client = client(vec![store.address()]);
    assert_eq!(client.machines().await, Ok(machines));
}

#[tokio::test]
async fn an_answer_of_another_type_is_reported_as_malformed() {
    let store = start_store().await;
    let client = client(vec![store.address()]);
    let written = client.put_if_version("thing", 0, &json!("text")).await;
    assert!(written.is_ok());
    let read = client.get::<u64>("thing").await;
    assert!(matches!(read, Err(ReadError::Malformed { .. })), "{read:?}");
}

/// A local address without a listener.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}
