//! The stand-in database groups of a site.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_checker::{HistoryEvent, Recorder};
use stairward_proxy::cluster::Clock;
use stairward_standins::group::{Fault, GroupConfig, MemberConfig};
use stairward_standins::server::{DatabaseGroup, DatabaseGroupConfig, StartError};
use stairward_types::{BackendId, GroupId, LogPosition, Term};

use super::observer::Observer;
use super::settings::BackendAddresses;
use crate::site::{Site, SiteError};

/// The term in which a group starts, led by its first member without an election.
const FIRST_TERM: Term = Term(1);

/// Why a site's databases could not be started.
#[derive(Debug, Snafu)]
pub enum DatabasesError {
    /// The site's names cannot be used.
    #[snafu(display("{source}"))]
    Names {
        /// Why.
        source: SiteError,
    },
    /// A group's servers could not be started.
    #[snafu(display("group {group}: {source}"))]
    Start {
        /// The group.
        group: GroupId,
        /// Why.
        source: StartError,
    },
}

/// How the databases of a site differ from its data file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DatabaseOptions {
    /// Fixes the election timeouts.
    pub seed: u64,
    /// Time between a replica's receiving and applying a record.
    pub replica_lag: Duration,
}

/// One running group.
#[derive(Debug)]
pub struct SiteGroup {
    /// Its name.
    pub group: GroupId,
    /// Its members, in the order of the site's places.
    pub members: Vec<BackendId>,
    servers: DatabaseGroup,
}

impl SiteGroup {
    /// Begins or ends a fault of a member.
    pub fn inject(&self, fault: Fault) {
        self.servers.inject(fault);
    }

    /// The member that leads the newest term; none during an election.
    pub async fn primary(&self) -> Option<BackendId> {
        self.servers.primary().await
    }
}

/// The running groups of a site.
#[derive(Debug)]
pub struct SiteDatabases {
    /// The groups, in the site's order.
    pub groups: Vec<SiteGroup>,
}

impl SiteDatabases {
    /// Starts every group of a site and records what its databases do.
    ///
    /// # Errors
    /// [`DatabasesError`] when a name cannot be used or a server does not start.
    pub async fn start(
        site: &Site,
        options: DatabaseOptions,
        recorder: &Recorder,
        clock: Clock,
    ) -> Result<Self, DatabasesError> {
        let observer = Arc::new(Observer::new(
            recorder.clone(),
            clock,
            backends_by_group(site)?,
        ));
        let mut groups = Vec::new();
        for number in 0..site.databases.groups {
            let group = start_group(site, number, options, &observer).await?;
            recorder.record(clock.now(), first_election(&group));
            groups.push(group);
        }
        Ok(Self { groups })
    }

    /// Where every database listens.
    #[must_use]
    pub fn addresses(&self) -> BackendAddresses {
        let addresses = self.groups.iter().map(|group| group.servers.addresses());
        addresses
            .flatten()
            .map(|(name, at)| (name.clone(), *at))
            .collect()
    }

    /// Stops all servers.
    pub async fn shutdown(self) {
        for group in self.groups {
            group.servers.shutdown().await;
        }
    }
}

fn backends_by_group(site: &Site) -> Result<BTreeMap<BackendId, GroupId>, DatabasesError> {
    let mut groups = BTreeMap::new();
    for number in 0..site.databases.groups {
        let group = site.group(number).context(NamesSnafu)?;
        for place in 0..site.places.len() {
            let backend = site.backend(number, place).context(NamesSnafu)?;
            groups.insert(backend, group.clone());
        }
    }
    Ok(groups)
}

async fn start_group(
    site: &Site,
    number: usize,
    options: DatabaseOptions,
    observer: &Arc<Observer>,
) -> Result<SiteGroup, DatabasesError> {
    let group = site.group(number).context(NamesSnafu)?;
    // The primaries of different groups stand in different places.
    let order: Vec<usize> = (0..site.places.len())
        .map(|place| (place + number) % site.places.len())
        .collect();
    let members = order
        .iter()
        .map(|&place| site.backend(number, place))
        .collect::<Result<Vec<_>, _>>()
        .context(NamesSnafu)?;
    let configs = members
        .iter()
        .map(|member| member_config(site, options, member));
    let mut config = GroupConfig::new(group.as_str(), configs.collect());
    config.links = links(site, &order, &members);
    let observer = Arc::clone(observer);
    let servers = DatabaseGroup::start(DatabaseGroupConfig {
        group: config,
        seed: options.seed.wrapping_add(number as u64),
        listen: BTreeMap::new(),
        observer: Some(Arc::new(move |truth| observer.observe(&truth))),
    })
    .await
    .with_context(|_| StartSnafu {
        group: group.clone(),
    })?;
    Ok(SiteGroup {
        group,
        members,
        servers,
    })
}

fn member_config(site: &Site, options: DatabaseOptions, member: &BackendId) -> MemberConfig {
    let databases = &site.databases;
    let mut config = MemberConfig::new(member.clone());
    config.connection_limit = databases.connections as usize;
    config.slots = databases.slots as usize;
    config.connection_opening_time = databases.connect_time();
    config.replication_lag = options.replica_lag;
    config
}

/// The one-way delays between a group's members.
fn links(
    site: &Site,
    places: &[usize],
    members: &[BackendId],
) -> BTreeMap<(BackendId, BackendId), Duration> {
    let latencies = site.latencies();
    let mut links = BTreeMap::new();
    for (first, (from, one)) in places.iter().zip(members).enumerate() {
        for (to, other) in places.iter().zip(members).skip(first + 1) {
            let delay = latencies.between(*from, *to);
            links.insert((one.clone(), other.clone()), delay);
        }
    }
    links
}

fn first_election(group: &SiteGroup) -> HistoryEvent {
    HistoryEvent::Elected {
        group: group.group.clone(),
        term: FIRST_TERM,
        backend: group.members[0].clone(),
        log_start: LogPosition::default(),
        continues: None,
    }
}
