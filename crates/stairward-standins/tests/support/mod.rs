//! What the server tests have in common.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod bench;

use stairward_standins::group::{GroupConfig, MemberConfig};
use stairward_standins::server::{DatabaseGroup, DatabaseGroupConfig};
use stairward_types::BackendId;
use tokio_postgres::{Client, NoTls};

/// The database that test groups serve.
pub const DATABASE: &str = "shelf";

/// Names of members: `a`, `b` and so on.
pub fn member_names(count: u8) -> Vec<BackendId> {
    (0..count)
        .map(|place| BackendId::new(char::from(b'a' + place)).unwrap())
        .collect()
}

/// A group's configuration with members of these names.
pub fn group_config(members: &[BackendId]) -> GroupConfig {
    let members = members.iter().cloned().map(MemberConfig::new).collect();
    GroupConfig::new(DATABASE, members)
}

/// Starts a group on free ports.
pub async fn start_group(count: u8) -> (DatabaseGroup, Vec<BackendId>) {
    let members = member_names(count);
    let config = DatabaseGroupConfig::new(group_config(&members));
    let group = DatabaseGroup::start(config).await.unwrap();
    (group, members)
}

/// The parameters to connect to a member with.
pub fn connection_config(group: &DatabaseGroup, member: &BackendId) -> tokio_postgres::Config {
    let address = group.address(member).unwrap();
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("tester")
        .dbname(DATABASE);
    config
}

/// Connects to a member.
pub async fn connect(group: &DatabaseGroup, member: &BackendId) -> Client {
    let config = connection_config(group, member);
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}
