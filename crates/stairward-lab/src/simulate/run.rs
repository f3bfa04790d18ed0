//! Runs seeds, several at once, and sums them up.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use snafu::Snafu;
use stairward_checker::{Report, check};

use super::layout::LayoutError;
use super::metrics::Metrics;
use super::options::Options;
use super::report::Summary;
use super::world::World;
use crate::site::{Site, SiteError};

/// Why nothing could be simulated.
#[derive(Debug, Snafu)]
pub enum SimulationError {
    /// The site is not known.
    #[snafu(display("{source}"), context(false))]
    Site {
        /// What is wrong.
        source: SiteError,
    },
    /// The site cannot be laid out.
    #[snafu(display("{source}"), context(false))]
    Layout {
        /// What is wrong.
        source: LayoutError,
    },
}

/// What one seed gave.
#[derive(Debug)]
pub(super) struct RunResult {
    pub seed: u64,
    pub report: Report,
    pub metrics: Metrics,
    /// The last lines of the event log, when the seed has violations.
    pub log_tail: Vec<String>,
}

/// Runs all seeds of the options. The result does not depend on the number of threads.
///
/// # Errors
/// [`SimulationError`] when the site cannot be used.
pub fn simulate(options: &Options) -> Result<Summary, SimulationError> {
    let site = Site::named(&options.site)?;
    let runs = run_seeds(&site, options)?;
    Ok(Summary::new(options, runs))
}

fn run_seeds(site: &Site, options: &Options) -> Result<Vec<RunResult>, LayoutError> {
    let next = AtomicU64::new(*options.seeds.start());
    let finished: Mutex<Vec<Result<RunResult, LayoutError>>> = Mutex::default();
    let threads = match options.threads {
        0 => thread::available_parallelism().map_or(1, usize::from),
        threads => threads,
    };
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > *options.seeds.end() {
                        return;
                    }
                    let result = run_seed(site, options, seed);
                    let mut finished = finished
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner);
                    finished.push(result);
                }
            });
        }
    });
    let finished = finished
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut runs = finished.into_iter().collect::<Result<Vec<_>, _>>()?;
    runs.sort_by_key(|run| run.seed);
    Ok(runs)
}

fn run_seed(site: &Site, options: &Options, seed: u64) -> Result<RunResult, LayoutError> {
    let mut world = World::new(site, options, seed, options.log)?;
    world.run(seed);
    let report = check(&world.recorder.history());
    if options.log {
        for line in world.take_whole_log() {
            eprintln!("{line}");
        }
    }
    // A failing seed is run again with its event log, which costs time.
    let log_tail = if report.is_clean() {
        Vec::new()
    } else {
        logged_tail(site, options, seed)?
    };
    Ok(RunResult {
        seed,
        report,
        metrics: std::mem::take(&mut world.metrics),
        log_tail,
    })
}

fn logged_tail(site: &Site, options: &Options, seed: u64) -> Result<Vec<String>, LayoutError> {
    let mut world = World::new(site, options, seed, true)?;
    world.run(seed);
    Ok(world.take_log())
}
