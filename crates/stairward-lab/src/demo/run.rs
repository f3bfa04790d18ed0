//! Runs a demo from start to report.

use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use stairward_checker::{History, HistoryEvent, Recorder};
use stairward_proxy::cluster::Clock;
use stairward_types::Time;

use super::callers::SpecialCallers;
use super::cluster::{ClusterError, ClusterOptions, DemoCluster};
use super::failover::Failover;
use super::fault::{FaultKind, plan};
use super::operator::Operator;
use super::report::{DemoReport, Gathered};
use super::timeline::{PrimaryLoss, Timeline};
use crate::load::connection::Credentials;
use crate::load::progress::Progress;
use crate::load::run::{LoadError, LoadOptions, PreparedLoad};
use crate::load::tally::Tally;
use crate::provenance::Provenance;
use crate::site::{Site, SiteError};

/// What a demo is to do.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Whose databases, places and traffic.
    pub site: Site,
    /// How long load runs.
    pub length: Duration,
    /// Seed of the schedule and of the databases' election timeouts.
    pub seed: u64,
    /// Faults that strike after a third of the run.
    pub faults: Vec<FaultKind>,
    /// Lag of every replica during the whole run.
    pub replica_lag: Duration,
    /// Whether to show progress, when standard error is a terminal.
    pub show_progress: bool,
}

/// Why a demo could not run.
#[derive(Debug, Snafu)]
pub enum DemoError {
    /// The threads could not be started.
    #[snafu(display("the threads cannot be started: {source}"))]
    Threads {
        /// What the system says.
        source: std::io::Error,
    },
    /// The cluster could not be started.
    #[snafu(display("the cluster did not start: {source}"))]
    Cluster {
        /// Why.
        source: ClusterError,
    },
    /// The load could not run.
    #[snafu(display("the load did not run: {source}"))]
    Load {
        /// Why.
        source: LoadError,
    },
    /// The site's names cannot be used.
    #[snafu(display("{source}"))]
    Names {
        /// Why.
        source: SiteError,
    },
}

/// Runs a demo on threads of its own and blocks until it is over.
///
/// # Errors
/// [`DemoError`] when the cluster or the load could not run at all. Violations are no error; the
/// report holds them.
pub fn run_demo(options: &DemoOptions) -> Result<DemoReport, DemoError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(ThreadsSnafu)?;
    runtime.block_on(run(options))
}

async fn run(options: &DemoOptions) -> Result<DemoReport, DemoError> {
    let recorder = Recorder::new();
    let clock = Clock::start();
    let site = &options.site;
    let cluster_options = ClusterOptions {
        site: site.clone(),
        seed: options.seed,
        replica_lag: options.replica_lag,
        listen: None,
    };
    let cluster = DemoCluster::start(&cluster_options, recorder.clone(), clock)
        .await
        .context(ClusterSnafu)?;
    let load = PreparedLoad::new(load_options(options, &cluster))
        .await
        .context(LoadSnafu)?;
    let first_group = site.group(0).context(NamesSnafu)?;
    let callers = SpecialCallers::new(site.clone(), first_group, recorder.clone(), clock);
    let operator = Operator::new(recorder.clone(), clock, options.seed);

    let tally = Arc::new(Tally::default());
    let progress = options
        .show_progress
        .then(|| Progress::show(Arc::clone(&tally), options.length));
    let start = clock.now();
    let timeline = Timeline::new(cluster, site.clone(), operator, callers, clock, start);
    let steps = plan(options.length, &options.faults);
    let (finished, ()) = tokio::join!(
        timeline.run(steps),
        load.run(clock, recorder.clone(), Arc::clone(&tally)),
    );
    drop(progress);
    let history = recorder.history();
    finished.cluster.end().await;
    Ok(DemoReport::new(Gathered {
        site: site.name.clone(),
        provenance: Provenance::of_this_process(Some(options.seed)),
        replica_lag: options.replica_lag,
        load: tally.result(site),
        writes: tally.write_timings(),
        failovers: failovers(&finished.losses, &history, start),
        faults: finished.marks,
        history,
    }))
}

fn load_options(options: &DemoOptions, cluster: &DemoCluster) -> LoadOptions {
    LoadOptions {
        proxies: cluster.proxies.callers(),
        seed: options.seed,
        length: options.length,
        requests_per_second: options.site.traffic.requests_per_second,
        sessions: options.site.traffic.sessions,
        credentials: Credentials::default(),
        site: options.site.clone(),
    }
}

/// Pairs each lost primary with the election that followed.
fn failovers(losses: &[PrimaryLoss], history: &History, start: Time) -> Vec<Failover> {
    losses
        .iter()
        .filter_map(|loss| {
            let elected_at = elected_after(loss, history)?;
            Some(Failover {
                group: loss.group.clone(),
                lost_at: loss.at.since(start),
                elected_at: elected_at.since(start),
            })
        })
        .collect()
}

fn elected_after(loss: &PrimaryLoss, history: &History) -> Option<Time> {
    let mut later = history.records.iter().filter(|record| record.at > loss.at);
    later.find_map(|record| match &record.event {
        HistoryEvent::Elected { group, .. } if *group == loss.group => Some(record.at),
        _ => None,
    })
}
