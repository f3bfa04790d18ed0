//! Runs a simulated fleet through a fault and reports what was measured.

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stairward_types::{Duration, Time};

use super::fault::Fault;
use super::fleet::{Fleet, FleetOptions};
use crate::simulated_network::Traffic;

/// Before this, timers that all began at once spread out; nothing is measured.
const WARM_UP: Duration = Duration::from_secs(5);
/// How long traffic without faults is measured.
const QUIET: Duration = Duration::from_secs(20);
/// How long after the fault the fleet may take to converge.
const SETTLING: Duration = Duration::from_secs(120);
/// After converging the fleet runs on for so long, so that late mistakes show.
const AFTERMATH: Duration = Duration::from_secs(5);
/// How often convergence is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often traffic is noted, to find its peak.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(1);

/// Percentiles of times, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Percentiles {
    /// Of some times; none when there are none. The nearest rank is taken.
    #[must_use]
    pub fn of(mut times: Vec<Duration>) -> Option<Self> {
        times.sort_unstable();
        let max = seconds(*times.last()?);
        let at = |percent: usize| {
            let rank = (times.len() * percent).div_ceil(100).max(1);
            seconds(times[rank - 1])
        };
        Some(Self {
            p50: at(50),
            p99: at(99),
            max,
        })
    }
}

/// Rounded to milliseconds.
fn seconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1_000.0).round() / 1_000.0
}

/// Traffic of one node, averaged over nodes, in bytes a second with IPv4 and UDP headers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct NodeTraffic {
    /// Sent and received over the whole run, settling included.
    pub whole_run: f64,
    /// Sent and received before the fault.
    pub quiet: f64,
    /// Sent and received in the busiest second.
    pub busiest_second: f64,
}

/// What a run measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipReport {
    /// Nodes in the fleet.
    pub nodes: usize,
    /// Virtual time of the run, in seconds.
    pub virtual_seconds: f64,
    /// Nodes that were lost for good.
    pub losses: usize,
    /// From a loss until the last running node had taken the lost one out of its view.
    pub detect_s: Option<Percentiles>,
    /// The same, for each running node by itself.
    pub detect_each_s: Option<Percentiles>,
    /// Losses that a running node had not noticed by the end.
    pub unnoticed_losses: usize,
    /// Times that a node took one as failed that ran and could be reached.
    pub false_positives: u64,
    /// Times that a node came to suspect another.
    pub suspicions: u64,
    /// Paused nodes that were taken as failed, which is right for long pauses.
    pub paused_taken_as_failed: usize,
    /// Sent and received over the whole run, per node.
    pub bytes_per_node_per_second: f64,
    /// The same by phase.
    pub traffic: NodeTraffic,
    /// Datagrams sent a second, per node, over the whole run.
    pub datagrams_per_node_per_second: f64,
    /// Whether in the end every running node saw exactly the running nodes.
    pub converged: bool,
    /// From the end of the fault until then.
    pub converge_s: Option<f64>,
}

/// Runs a fleet through a fault.
#[must_use]
pub fn simulate(options: &FleetOptions, fault: Fault) -> MembershipReport {
    let mut run = Run::start(options);
    run.advance(WARM_UP);
    run.meter = Meter::start(&run.fleet);
    run.advance(QUIET);
    let quiet = run.meter.rate(&run.fleet);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed.wrapping_add(2));
    let plan = fault.plan(run.fleet.topology(), run.fleet.now(), &mut rng);
    for (at, action) in plan.actions {
        run.fleet.plan(at, action);
    }
    run.advance(plan.ends.since(run.fleet.now()));
    let converge_time = run.settle(plan.ends);
    run.advance(AFTERMATH);
    run.report(quiet, converge_time)
}

/// Bytes and node-seconds since a point in time.
struct Meter {
    before: Traffic,
    node_seconds: f64,
    busiest: f64,
}

impl Meter {
    fn start(fleet: &Fleet) -> Self {
        Self {
            before: fleet.traffic(),
            node_seconds: 0.0,
            busiest: 0.0,
        }
    }

    fn rate(&self, fleet: &Fleet) -> f64 {
        per_node(
            bytes_between(self.before, fleet.traffic()),
            self.node_seconds,
        )
    }
}

#[allow(clippy::cast_precision_loss)]
fn bytes_between(before: Traffic, after: Traffic) -> f64 {
    let sent = after.sent_bytes - before.sent_bytes;
    let received = after.received_bytes - before.received_bytes;
    (sent + received) as f64
}

fn per_node(amount: f64, node_seconds: f64) -> f64 {
    (amount / node_seconds.max(1.0)).round()
}

struct Run {
    fleet: Fleet,
    meter: Meter,
}

impl Run {
    fn start(options: &FleetOptions) -> Self {
        let fleet = Fleet::formed(options);
        let meter = Meter::start(&fleet);
        Self { fleet, meter }
    }

    /// Runs for a while, a second at a time.
    fn advance(&mut self, time: Duration) {
        let end = self.fleet.now() + time;
        while self.fleet.now() < end {
            let next = end.min(self.fleet.now() + TRAFFIC_INTERVAL);
            self.step(next);
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn step(&mut self, next: Time) {
        let before = self.fleet.traffic();
        let time = next.since(self.fleet.now());
        self.fleet.run_until(next);
        let node_seconds = self.fleet.up().len() as f64 * time.as_secs_f64();
        self.meter.node_seconds += node_seconds;
        let bytes = bytes_between(before, self.fleet.traffic());
        if time == TRAFFIC_INTERVAL {
            self.meter.busiest = self.meter.busiest.max(per_node(bytes, node_seconds));
        }
    }

    /// Runs until the fleet agrees, or too long has passed; says how long it took.
    fn settle(&mut self, since: Time) -> Option<Duration> {
        let end = since + SETTLING;
        let mut next_second = self.fleet.now() + TRAFFIC_INTERVAL;
        let mut second_start = self.fleet.traffic();
        while self.fleet.now() <= end {
            let next = self.fleet.now() + CHECK_INTERVAL;
            self.step(next);
            if self.fleet.has_converged() {
                return Some(self.fleet.now().since(since));
            }
            if next >= next_second {
                self.note_busy_second(second_start);
                second_start = self.fleet.traffic();
                next_second = next + TRAFFIC_INTERVAL;
            }
        }
        None
    }

    #[allow(clippy::cast_precision_loss)]
    fn note_busy_second(&mut self, before: Traffic) {
        let bytes = bytes_between(before, self.fleet.traffic());
        let rate = per_node(bytes, self.fleet.up().len() as f64);
        self.meter.busiest = self.meter.busiest.max(rate);
    }

    #[allow(clippy::cast_precision_loss)]
    fn report(&self, quiet: f64, converge_time: Option<Duration>) -> MembershipReport {
        let observations = &self.fleet.observations;
        let up = self.fleet.up();
        let to_all = observations.times_to_all(&up);
        let noticed: Vec<Duration> = to_all.iter().copied().flatten().collect();
        let whole_run = self.meter.rate(&self.fleet);
        let datagrams = self.fleet.traffic().sent_messages - self.meter.before.sent_messages;
        MembershipReport {
            nodes: self.fleet.topology().len(),
            virtual_seconds: seconds(self.fleet.now().since(Time::ZERO)),
            losses: to_all.len(),
            unnoticed_losses: to_all.len() - noticed.len(),
            detect_s: Percentiles::of(noticed),
            detect_each_s: Percentiles::of(observations.times_to_each(&up)),
            false_positives: observations.false_positives,
            suspicions: observations.suspicions,
            paused_taken_as_failed: observations.paused_taken_as_failed.len(),
            bytes_per_node_per_second: whole_run,
            traffic: NodeTraffic {
                whole_run,
                quiet,
                busiest_second: self.meter.busiest,
            },
            datagrams_per_node_per_second: per_node(datagrams as f64, self.meter.node_seconds),
            converged: self.fleet.has_converged(),
            converge_s: converge_time.map(seconds),
        }
    }
}
