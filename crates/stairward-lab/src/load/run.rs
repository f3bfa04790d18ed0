//! Runs a load: fills the tables, opens the sessions and lets requests arrive on time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};
use stairward_checker::{HistoryEvent, Recorder};
use stairward_types::{GroupId, NodeId};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::connection::{CallerConnection, Credentials};
use super::outcome::Outcome;
use super::schedule::{PlannedRequest, Schedule};
use super::session::Session;
use super::statements::StatementWriter;
use super::tally::Tally;
use crate::site::{Site, SiteError};
use stairward_proxy::cluster::Clock;

/// Arrivals that may wait for one session.
const SESSION_QUEUE: usize = 256;
/// Attempts to fill the tables of a group while its proxies are starting.
const SET_UP_ATTEMPTS: u32 = 50;
/// Pause between two such attempts.
const SET_UP_PAUSE: Duration = Duration::from_millis(100);

/// Where a proxy takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProxyAddress {
    /// Its number.
    pub node: NodeId,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// What to run, and against which proxies.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Whose traffic.
    pub site: Site,
    /// Which proxies; a session starts at one and roams to the others.
    pub proxies: Vec<ProxyAddress>,
    /// Seed of the schedule.
    pub seed: u64,
    /// How long requests arrive.
    pub length: Duration,
    /// Arrivals over all sessions.
    pub requests_per_second: f64,
    /// Sessions.
    pub sessions: u32,
    /// Who callers log in as.
    pub credentials: Credentials,
}

/// Why a load could not run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// No proxy was given.
    #[snafu(display("no proxy to send load to"))]
    NoProxy,
    /// The site's names cannot be used.
    #[snafu(display("{source}"))]
    SiteNames {
        /// Why.
        source: SiteError,
    },
    /// The tables of a group could not be filled.
    #[snafu(display("the tables of group {group} could not be filled: {text}"))]
    SetUp {
        /// The group.
        group: GroupId,
        /// The last error.
        text: String,
    },
}

/// What the sessions of a run share.
pub(super) struct LoadContext {
    pub(super) options: LoadOptions,
    pub(super) proxies: Vec<ProxyAddress>,
    recorder: Recorder,
    clock: Clock,
    start: stairward_types::Time,
    tally: Arc<Tally>,
}

impl LoadContext {
    pub(super) fn tally(&self) -> &Tally {
        &self.tally
    }

    pub(super) fn record(&self, event: HistoryEvent) {
        self.recorder.record(self.clock.now(), event);
    }

    pub(super) fn finish(&self, request: &PlannedRequest, group: &GroupId, outcome: &Outcome) {
        let ended = self.clock.now().since(self.start);
        self.tally.finished(request, group, outcome, ended);
    }
}

/// A load whose tables are filled, ready to start.
#[derive(Debug)]
pub struct PreparedLoad {
    options: LoadOptions,
    groups: Vec<GroupId>,
}

impl PreparedLoad {
    /// Creates and fills the tables of every group through the proxies.
    ///
    /// # Errors
    /// [`LoadError`] when there is no proxy, or a group does not take the statements in time.
    pub async fn new(options: LoadOptions) -> Result<Self, LoadError> {
        ensure!(!options.proxies.is_empty(), NoProxySnafu);
        let groups = (0..options.site.databases.groups)
            .map(|number| options.site.group(number))
            .collect::<Result<Vec<_>, _>>()
            .context(SiteNamesSnafu)?;
        for (number, group) in groups.iter().enumerate() {
            let sessions: Vec<u32> = (0..options.sessions)
                .filter(|session| *session as usize % groups.len() == number)
                .collect();
            fill_tables(&options, group, &sessions).await?;
        }
        Ok(Self { options, groups })
    }

    /// Lets requests arrive for the run's length, and returns when the last has ended.
    pub async fn run(self, clock: Clock, recorder: Recorder, tally: Arc<Tally>) {
        let start = clock.now();
        let context = Arc::new(LoadContext {
            proxies: self.options.proxies.clone(),
            options: self.options,
            recorder,
            clock,
            start,
            tally,
        });
        let mut tasks = JoinSet::new();
        let mut queues = BTreeMap::new();
        for number in 0..context.options.sessions {
            let group = self.groups[number as usize % self.groups.len()].clone();
            let (sender, receiver) = mpsc::channel(SESSION_QUEUE);
            tasks.spawn(Session::new(Arc::clone(&context), number, group).run(receiver));
            queues.insert(number, sender);
        }
        let begin = tokio::time::Instant::now();
        let options = &context.options;
        let schedule = Schedule::new(&options.site, options.seed)
            .with_load(options.requests_per_second, options.sessions)
            .take_while(|request| request.at < options.length);
        for request in schedule {
            tokio::time::sleep_until(begin + request.at).await;
            let queue = &queues[&request.session];
            if queue.try_send(request).is_err() {
                context.tally().overdue();
            }
        }
        drop(queues);
        while tasks.join_next().await.is_some() {}
    }
}

async fn fill_tables(
    options: &LoadOptions,
    group: &GroupId,
    sessions: &[u32],
) -> Result<(), LoadError> {
    let mut last_error = String::new();
    for attempt in 0..SET_UP_ATTEMPTS {
        let proxy = options.proxies[attempt as usize % options.proxies.len()];
        match try_fill_tables(options, proxy, group, sessions).await {
            Ok(()) => return Ok(()),
            Err(error) => last_error = describe(&error),
        }
        tokio::time::sleep(SET_UP_PAUSE).await;
    }
    SetUpSnafu {
        group: group.clone(),
        text: last_error,
    }
    .fail()
}

async fn try_fill_tables(
    options: &LoadOptions,
    proxy: ProxyAddress,
    group: &GroupId,
    sessions: &[u32],
) -> Result<(), tokio_postgres::Error> {
    let connection =
        CallerConnection::open(proxy.address, group.as_str(), &options.credentials, None).await?;
    for statement in StatementWriter::new(&options.site).set_up(sessions) {
        connection.run(&statement).await?;
    }
    connection.close().await;
    Ok(())
}

fn describe(error: &tokio_postgres::Error) -> String {
    error
        .as_db_error()
        .map_or_else(|| error.to_string(), |error| error.message().to_owned())
}
