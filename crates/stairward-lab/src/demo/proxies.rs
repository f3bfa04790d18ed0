//! The proxies of a demo: real nodes, each on threads of its own, started, stopped and killed.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_checker::{HistoryEvent, Recorder};
use stairward_proxy::cluster::{Clock, Cluster};
use stairward_proxy::control::configuration::ConfigurationHandle;
use stairward_proxy::node::{EmbeddedNode, EmbeddedNodeError, NodeAddresses};
use stairward_settings::ProcessSettings;
use stairward_settings::process::Secret;
use stairward_types::NodeId;
use tokio::task::JoinError;

use crate::load::run::ProxyAddress;
use crate::site::Site;

/// Key shared by a demo's proxies. They listen on loopback only.
const CLUSTER_KEY: &[u8] = b"stairward demo cluster key";
/// Client connections that one of a demo's proxies takes: as many as a process may have descriptors
/// for.
const MAXIMUM_CLIENTS: u32 = 20_000;
/// Attempts to start a proxy whose old sockets may not be closed yet.
const START_ATTEMPTS: u32 = 20;
/// Pause between two such attempts.
const START_PAUSE: Duration = Duration::from_millis(50);

/// Why a proxy could not be started.
#[derive(Debug, Snafu)]
pub enum ProxiesError {
    /// The node could not start.
    #[snafu(display("{source}"))]
    Node {
        /// Why.
        source: EmbeddedNodeError,
    },
    /// The thread that starts it failed.
    #[snafu(display("{source}"))]
    Thread {
        /// Why.
        source: JoinError,
    },
}

struct Proxy {
    settings: ProcessSettings,
    addresses: NodeAddresses,
    id: NodeId,
    running: Option<EmbeddedNode>,
}

/// The proxies of a demo, one in each place of the site.
pub struct Proxies {
    proxies: Vec<Proxy>,
    recorder: Recorder,
    clock: Clock,
}

impl Proxies {
    /// Starts a proxy in each place. The first listens for callers at `listen`, where one is given.
    ///
    /// # Errors
    /// [`ProxiesError`] when a proxy does not start.
    pub async fn start(
        site: &Site,
        platform: SocketAddr,
        listen: Option<SocketAddr>,
        recorder: Recorder,
        clock: Clock,
    ) -> Result<Self, ProxiesError> {
        let mut proxies: Vec<Proxy> = Vec::new();
        for (number, place) in site.places.iter().enumerate() {
            let mut settings = ProcessSettings::embedded(
                place.region.clone(),
                place.zone.clone(),
                vec![platform],
                Secret::new(CLUSTER_KEY),
            );
            settings.callers.maximum_clients = MAXIMUM_CLIENTS;
            settings.cluster.seeds = proxies.iter().map(|proxy| proxy.addresses.peer).collect();
            if let (0, Some(address)) = (number, listen) {
                settings.listen.client = address;
            }
            let started = clock.now();
            let node = start_node(settings.clone()).await?;
            record_start(&recorder, clock, started, &node);
            proxies.push(Proxy::new(settings, node));
        }
        let mut started = Self {
            proxies,
            recorder,
            clock,
        };
        started.name_all_seeds();
        Ok(started)
    }

    /// A proxy that starts again can learn of the others from any that live.
    fn name_all_seeds(&mut self) {
        let peers: Vec<SocketAddr> = self
            .proxies
            .iter()
            .map(|proxy| proxy.addresses.peer)
            .collect();
        for proxy in &mut self.proxies {
            let own = proxy.addresses.peer;
            proxy.settings.cluster.seeds =
                peers.iter().copied().filter(|peer| *peer != own).collect();
        }
    }

    /// Where the proxies take callers.
    #[must_use]
    pub fn callers(&self) -> Vec<ProxyAddress> {
        self.proxies
            .iter()
            .map(|proxy| ProxyAddress {
                node: proxy.id,
                address: proxy.addresses.client,
            })
            .collect()
    }

    /// Where each proxy listens.
    #[must_use]
    pub fn addresses(&self) -> Vec<NodeAddresses> {
        self.proxies.iter().map(|proxy| proxy.addresses).collect()
    }

    /// Edits settings through any proxy that runs; none when none does.
    #[must_use]
    pub fn configuration(&self) -> Option<ConfigurationHandle> {
        let mut running = self
            .proxies
            .iter()
            .filter_map(|proxy| proxy.running.as_ref());
        Some(running.next()?.node().configuration().clone())
    }

    /// Ends a proxy as the death of its process would.
    pub fn kill(&mut self, number: usize) {
        let proxy = &mut self.proxies[number];
        if let Some(node) = proxy.running.take() {
            let event = HistoryEvent::ProxyKilled { proxy: proxy.id };
            self.recorder.record(self.clock.now(), event);
            node.kill();
        }
    }

    /// Takes a proxy out for a planned stop, which the caller carries out with
    /// [`PlannedStop::finish`], so that other steps go on meanwhile.
    pub fn begin_stop(&mut self, number: usize) -> Option<PlannedStop> {
        let proxy = &mut self.proxies[number];
        Some(PlannedStop {
            node: proxy.running.take()?,
            id: proxy.id,
            timeout: proxy.settings.drain.timeout,
            recorder: self.recorder.clone(),
            clock: self.clock,
        })
    }

    /// Starts a proxy again that was killed or stopped, at its old addresses.
    ///
    /// # Errors
    /// [`ProxiesError`] when it does not start.
    pub async fn restart(&mut self, number: usize) -> Result<(), ProxiesError> {
        let proxy = &mut self.proxies[number];
        if proxy.running.is_some() {
            return Ok(());
        }
        let started = self.clock.now();
        let mut attempt = 1;
        let node = loop {
            match start_node(proxy.settings.clone()).await {
                Ok(node) => break node,
                Err(error) if attempt == START_ATTEMPTS => return Err(error),
                Err(_) => tokio::time::sleep(START_PAUSE).await,
            }
            attempt += 1;
        };
        record_start(&self.recorder, self.clock, started, &node);
        proxy.running = Some(node);
        Ok(())
    }

    /// Ends all proxies at once, after the run.
    pub fn end(self) {
        for proxy in self.proxies {
            if let Some(node) = proxy.running {
                node.kill();
            }
        }
    }
}

impl Proxy {
    fn new(mut settings: ProcessSettings, node: EmbeddedNode) -> Self {
        let addresses = node.addresses();
        settings.listen.client = addresses.client;
        settings.listen.peer = addresses.peer;
        settings.listen.admin = addresses.admin;
        Self {
            settings,
            addresses,
            id: node.node().id(),
            running: Some(node),
        }
    }
}

/// A planned stop that has not ended.
pub struct PlannedStop {
    node: EmbeddedNode,
    id: NodeId,
    timeout: Duration,
    recorder: Recorder,
    clock: Clock,
}

impl PlannedStop {
    /// Stops the proxy and waits until it has ended.
    ///
    /// # Errors
    /// [`ProxiesError::Thread`] when the stop itself failed.
    pub async fn finish(self) -> Result<(), ProxiesError> {
        let began = HistoryEvent::StopBegan { proxy: self.id };
        self.recorder.record(self.clock.now(), began);
        let (node, timeout) = (self.node, self.timeout);
        tokio::task::spawn_blocking(move || node.stop(timeout))
            .await
            .context(ThreadSnafu)?;
        let ended = HistoryEvent::StopEnded { proxy: self.id };
        self.recorder.record(self.clock.now(), ended);
        Ok(())
    }
}

async fn start_node(settings: ProcessSettings) -> Result<EmbeddedNode, ProxiesError> {
    tokio::task::spawn_blocking(move || EmbeddedNode::start(&settings))
        .await
        .context(ThreadSnafu)?
        .context(NodeSnafu)
}

/// Records the start, as of the moment it was begun, and from then on each revision in force.
fn record_start(
    recorder: &Recorder,
    clock: Clock,
    started: stairward_types::Time,
    node: &EmbeddedNode,
) {
    let proxy = node.node().id();
    recorder.record(started, HistoryEvent::ProxyStarted { proxy });
    let cluster = node.node().cluster().clone();
    tokio::spawn(record_settings(recorder.clone(), clock, proxy, cluster));
}

async fn record_settings(recorder: Recorder, clock: Clock, proxy: NodeId, cluster: Cluster) {
    let mut settings = cluster.watch_settings();
    // Otherwise this task would keep a killed node's settings open.
    drop(cluster);
    settings.mark_changed();
    while settings.changed().await.is_ok() {
        let revision = settings.borrow_and_update().revision;
        if revision.0 > 0 {
            recorder.record(
                clock.now(),
                HistoryEvent::SettingsApplied { proxy, revision },
            );
        }
    }
}
