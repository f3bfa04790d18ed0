//! Start, control and shutdown of a group's servers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use stairward_types::{BackendId, Freshness};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::GroundTruth;
use crate::group::{Event, Fault, GroupConfig};

use super::driver::{Command, Driver, DriverHandle};
use super::listener::{Listener, serve_member};

/// Called with everything that truly happens at the back ends, on the group's own thread.
pub type Observer = Arc<dyn Fn(GroundTruth) + Send + Sync>;

/// How to start a group's servers.
#[derive(Clone)]
pub struct DatabaseGroupConfig {
    /// The group.
    pub group: GroupConfig,
    /// Fixes the election timeouts.
    pub seed: u64,
    /// Where members listen; those not named get a free port on 127.0.0.1.
    pub listen: BTreeMap<BackendId, SocketAddr>,
    /// Told of everything that happens, if given.
    pub observer: Option<Observer>,
}

impl DatabaseGroupConfig {
    /// A group on free ports without an observer.
    #[must_use]
    pub const fn new(group: GroupConfig) -> Self {
        Self {
            group,
            seed: 1,
            listen: BTreeMap::new(),
            observer: None,
        }
    }
}

impl fmt::Debug for DatabaseGroupConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("DatabaseGroupConfig")
            .field("group", &self.group)
            .field("seed", &self.seed)
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// Why a group's servers could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A member's address cannot be listened on.
    #[snafu(display("cannot listen on {address} for {member}"))]
    Listen {
        /// The member.
        member: BackendId,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The group's thread cannot be started.
    #[snafu(display("cannot start the group's thread"))]
    Thread {
        /// What the system says.
        source: std::io::Error,
    },
}

/// A running group. Dropping it stops its servers.
#[derive(Debug)]
pub struct DatabaseGroup {
    addresses: BTreeMap<BackendId, SocketAddr>,
    driver: DriverHandle,
    listeners: Vec<JoinHandle<()>>,
}

impl DatabaseGroup {
    /// Starts a server for each member. The first member is primary.
    ///
    /// # Errors
    /// [`StartError`] when an address cannot be listened on or the thread cannot be started.
    pub async fn start(config: DatabaseGroupConfig) -> Result<Self, StartError> {
        let mut bound = Vec::new();
        let mut addresses = BTreeMap::new();
        for member in &config.group.members {
            let (listener, address) = listen(&member.backend, &config.listen).await?;
            addresses.insert(member.backend.clone(), address);
            bound.push((member.backend.clone(), listener, address));
        }
        let database = config.group.database.clone();
        let (driver, availability) = Driver::spawn(config).context(ThreadSnafu)?;
        let mut listeners = Vec::new();
        for ((member, socket, address), available) in bound.into_iter().zip(availability) {
            let listener = Listener {
                member,
                database: database.clone(),
                address,
                available,
                driver: driver.clone(),
            };
            listeners.push(tokio::spawn(serve_member(listener, socket)));
        }
        Ok(Self {
            addresses,
            driver,
            listeners,
        })
    }

    /// Where each member listens.
    #[must_use]
    pub const fn addresses(&self) -> &BTreeMap<BackendId, SocketAddr> {
        &self.addresses
    }

    /// Where a member listens.
    #[must_use]
    pub fn address(&self, member: &BackendId) -> Option<SocketAddr> {
        self.addresses.get(member).copied()
    }

    /// Begins or ends a fault.
    pub fn inject(&self, fault: Fault) {
        self.driver.send(Command::Event(Event::Fault(fault)));
    }

    /// Begins a planned change of primary.
    pub fn switch_over(&self, to: BackendId) {
        self.driver.send(Command::Event(Event::Switchover { to }));
    }

    /// The member that leads the newest term; `None` during an election.
    pub async fn primary(&self) -> Option<BackendId> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        self.driver.send(Command::Primary(reply));
        answer.await.ok().flatten()
    }

    /// What a member reports of itself: newest known term and applied position.
    pub async fn freshness(&self, member: BackendId) -> Option<Freshness> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        self.driver.send(Command::Freshness(member, reply));
        answer.await.ok().flatten()
    }

    /// Stops all servers: closes the listeners and every connection.
    pub async fn shutdown(mut self) {
        for listener in &self.listeners {
            listener.abort();
        }
        for listener in std::mem::take(&mut self.listeners) {
            // An aborted task ends with an error that says just this.
            drop(listener.await);
        }
        self.driver.send(Command::Shutdown);
    }
}

impl Drop for DatabaseGroup {
    fn drop(&mut self) {
        for listener in &self.listeners {
            listener.abort();
        }
        self.driver.send(Command::Shutdown);
    }
}

async fn listen(
    member: &BackendId,
    chosen: &BTreeMap<BackendId, SocketAddr>,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let wanted = chosen.get(member).copied().unwrap_or(any_port);
    let context = || ListenSnafu {
        member: member.clone(),
        address: wanted,
    };
    let listener = TcpListener::bind(wanted)
        .await
        .with_context(|_| context())?;
    let address = listener.local_addr().with_context(|_| context())?;
    Ok((listener, address))
}
