//! Support code shared by the tests of the platform client.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use stairward_settings::{Change, Edit, SettingsOption, SettingsPath, SettingsTree};
use stairward_standins::platform::{PlatformStandin, PlatformStandinConfig, StoreConfig};
use stairward_store::{PlatformClient, PlatformClientSettings, RetryPolicy};
use stairward_types::{ChangeId, Revision};

/// Timeout of a request. Only tests of a silent store wait for it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Valid settings: those of the Lintas site.
const TREE: &str = include_str!("../../../../examples/lintas.toml");

/// Starts a store that refuses no reader and applies changes of the machine list at once.
pub async fn start_store() -> PlatformStandin {
    start_store_with(StoreConfig {
        machine_lag: Duration::ZERO,
        ..StoreConfig::default()
    })
    .await
}

pub async fn start_store_with(store: StoreConfig) -> PlatformStandin {
    let config = PlatformStandinConfig {
        store,
        ..PlatformStandinConfig::default()
    };
    PlatformStandin::start(config).await.expect("a free port")
}

/// Creates a client with three attempts and short delays.
pub fn client(addresses: Vec<SocketAddr>) -> PlatformClient {
    let settings = PlatformClientSettings {
        addresses,
        request_timeout: REQUEST_TIMEOUT,
        retry: RetryPolicy {
            attempts: 3,
            first_delay: Duration::from_millis(1),
            longest_delay: Duration::from_millis(4),
        },
    };
    PlatformClient::new(settings, Box::new(|| 0.0)).expect("a client")
}

pub fn tree() -> SettingsTree {
    SettingsTree::from_toml(TREE).expect("a valid tree")
}

/// An edit that sets the root's weight.
pub fn weight_edit(change_id: u64, based_on: Revision, weight: u64) -> Edit {
    Edit {
        change_id: ChangeId(change_id),
        based_on,
        changes: vec![Change::Set {
            path: SettingsPath::Root,
            option: SettingsOption::Weight,
            value: weight.into(),
        }],
    }
}
