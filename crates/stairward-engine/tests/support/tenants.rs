//! Tenants and their clients, for tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stairward_engine::{
    ConnectionId, Event, ForwardedRequest, Residency, RoutingTable, SessionId, Statement,
    StatementKind, Tenant, TenantDirectory,
};
use stairward_types::{ApiKey, GroupId, Revision, TenantName};

use super::{Harness, LEADER_READS, table};

pub const FIRST: &str = "tenant-1";
pub const SECOND: &str = "tenant-2";

pub fn name(name: &str) -> TenantName {
    TenantName::new(name).unwrap()
}

pub fn tenant(tenant: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name(tenant),
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
        limit: None,
        residency: Residency::Anywhere,
    }
}

pub fn table_of(revision: u64, tenants: Vec<Tenant>) -> RoutingTable {
    RoutingTable {
        tenants: Some(TenantDirectory::new(tenants)),
        ..table(revision)
    }
}

pub fn both() -> Vec<Tenant> {
    vec![
        tenant(FIRST, &["key-1", "key-1b"]),
        tenant(SECOND, &["key-2"]),
    ]
}

pub fn harness() -> Harness {
    let mut harness = Harness::new();
    harness.handle(Event::ConfigurationChanged(Arc::new(table_of(2, both()))));
    harness
}

impl Harness {
    pub fn open_with(&mut self, session: u64, database: &str, key: Option<&str>) -> SessionId {
        let session = SessionId(session);
        self.handle(Event::SessionOpened {
            session,
            database: GroupId::new(database).unwrap(),
            key: key.map(ApiKey::new),
        });
        session
    }

    pub fn tenant_of(&self, connection: ConnectionId) -> Option<String> {
        let target = self
            .targets
            .get(&connection)
            .expect("the connection was opened");
        target
            .tenant
            .as_ref()
            .map(|tenant| tenant.as_str().to_owned())
    }
}

pub fn forwarded(by: Option<&str>) -> ForwardedRequest {
    ForwardedRequest {
        database: GroupId::new(LEADER_READS).unwrap(),
        revision: Revision(2),
        tenant: by.map(name),
        in_transaction: false,
        values: BTreeMap::new(),
        prepared: None,
        commit: None,
        statement: Statement {
            id: "x1".to_owned(),
            kind: StatementKind::Write,
            text: "w".to_owned(),
        },
        time_left: Duration::from_secs(1),
    }
}
