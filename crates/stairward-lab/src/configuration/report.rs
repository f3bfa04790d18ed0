//! Runs a fleet through its edits and sums up what was measured.

use serde::Serialize;
use stairward_types::{Duration, Time};

use super::fault::Fault;
use super::fleet::{Fleet, FleetOptions, NodeVariant};
use super::schedule::Action;
use super::store::StoreCondition;
use rand::RngExt as _;

/// When the first edit is made: the fleet has settled by then.
const WARM_UP: Time = Time::from_millis(10_000);
/// Pauses between edits, in seconds.
const EDIT_PAUSE: std::ops::Range<f64> = 1.0..3.0;
/// After the last edit nothing happens for so long.
const COOL_DOWN: Duration = Duration::from_secs(10);
/// A fault begins so long before the edit in the middle of the run.
const FAULT_LEAD: Duration = Duration::from_millis(20);
/// Every so many edits, a second operator edits at the same time.
const RIVAL_EVERY: usize = 5;
/// Every so many edits, the operator makes more edits without a pause.
const BURST_EVERY: usize = 3;
/// How many more.
const BURST_EDITS: u32 = 3;
/// Every so many edits, a node is restarted right after the edit.
const RESTART_EVERY: usize = 4;
/// A node is restarted so long after an edit was begun.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct RunOptions {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Edits begun, besides those of rivals and those made right after another.
    pub edits: usize,
    /// Of everything left to chance.
    pub seed: u64,
    /// What goes wrong.
    pub fault: Fault,
    /// Groups of each of the 20 services in the settings tree.
    pub groups_per_service: usize,
    /// How nodes take settings in.
    pub variant: NodeVariant,
}

/// Percentiles of times, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half are at most this.
    pub p50: f64,
    /// 99 of 100 are at most this.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

/// What was measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConfigurationReport {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Virtual seconds of the run.
    pub virtual_seconds: f64,
    /// Edits that the store accepted.
    pub edits_accepted: usize,
    /// Edits that were refused, because another came first or the store did not answer; the
    /// operators made them anew.
    pub edits_refused: u64,
    /// Replies to edits that were lost after the edit took effect.
    pub replies_lost: u64,
    /// From the acceptance of an edit until the last live node has it in force; percentiles over
    /// edits. Nodes that could not be reached at that time are left out.
    pub spread_s: Option<Percentiles>,
    /// The same, over all pairs of edit and node.
    pub node_spread_s: Option<Percentiles>,
    /// For nodes that a partition had cut off: from its end until the last of them has the edit.
    pub spread_after_heal_s: Option<Percentiles>,
    /// Pairs of edit and live node that had not met when the run ended.
    pub unreached: usize,
    /// Times a serving node had an older revision in force than its place had before.
    pub reverted: u64,
    /// Times that was looked at.
    pub revision_checks: u64,
    /// Longest time after an accepted edit for which a node without it still gave its back ends new
    /// work, in seconds.
    pub old_settings_trusted_s: f64,
    /// Time during which serving nodes gave their back ends no new work, of all nodes together.
    pub untrusted_node_seconds: f64,
    /// Most nodes that read the store within one second.
    pub store_readers_max: usize,
    /// Reads that the store refused because of too many readers.
    pub store_reads_refused: u64,
    /// Bytes sent per node and second after the first ten seconds, TCP and IP headers included.
    pub bytes_per_node_per_second: f64,
    /// The same, of the node that sent most.
    pub busiest_node_bytes_per_second: f64,
    /// Bytes of the whole tree when it is sent.
    pub whole_tree_bytes: usize,
}

/// Runs a fleet.
#[must_use]
pub fn simulate(options: &RunOptions) -> ConfigurationReport {
    let mut fleet = Fleet::new(FleetOptions {
        nodes: options.nodes,
        seed: options.seed,
        lose_edit_replies: options.fault == Fault::LostReplies,
        groups_per_service: options.groups_per_service,
        variant: options.variant,
    });
    let end = plan(&mut fleet, options);
    fleet.schedule(WARM_UP, Action::MeasureTraffic);
    fleet.schedule(end, Action::End);
    fleet.run();
    summarise(&mut fleet, options, end)
}

/// Schedules edits, restarts and the fault; returns when the run is over.
fn plan(fleet: &mut Fleet, options: &RunOptions) -> Time {
    let mut at = WARM_UP;
    for number in 0..options.edits {
        if number == options.edits / 2 {
            at = plan_fault(fleet, options.fault, at);
        }
        let is_burst = number % BURST_EVERY == BURST_EVERY - 1;
        let more = if is_burst { BURST_EDITS } else { 0 };
        fleet.schedule(at, Action::EditBegins { more });
        if number % RIVAL_EVERY == RIVAL_EVERY - 1 {
            fleet.schedule(at, Action::EditBegins { more: 0 });
        }
        if number % RESTART_EVERY == RESTART_EVERY - 1 {
            fleet.schedule(at + RESTART_DELAY, Action::NodeRestarts);
        }
        at = at + Duration::from_secs_f64(fleet.rng.random_range(EDIT_PAUSE));
    }
    let fault_end = fleet.apart_until.max(at);
    fault_end + COOL_DOWN
}

/// Schedules the fault around an edit at `at`; returns when edits go on.
fn plan_fault(fleet: &mut Fleet, fault: Fault, at: Time) -> Time {
    let start = at - FAULT_LEAD;
    match fault {
        Fault::None | Fault::LostReplies => at,
        Fault::NodeFailures(count) => {
            fleet.schedule(start, Action::NodesFail(count));
            at
        }
        Fault::StoreDown(time) => plan_store_fault(fleet, start, time),
        Fault::RegionPartition(time) => {
            fleet.apart_until = start + time;
            fleet.schedule(start, Action::RegionsApart(true));
            fleet.schedule(start + time, Action::RegionsApart(false));
            at
        }
    }
}

/// The store fails for a while. An operator keeps trying; the other edits wait.
fn plan_store_fault(fleet: &mut Fleet, start: Time, time: Duration) -> Time {
    fleet.schedule(start, Action::StoreBecomes(StoreCondition::Down));
    fleet.schedule(start + time, Action::StoreBecomes(StoreCondition::Up));
    fleet.schedule(start + FAULT_LEAD, Action::EditBegins { more: 0 });
    start + time + FAULT_LEAD
}

fn summarise(fleet: &mut Fleet, options: &RunOptions, end: Time) -> ConfigurationReport {
    let times = fleet.observations.spread(&fleet.lives());
    let measured = end.since(WARM_UP).as_secs_f64();
    let sent = fleet.observations.sent_since_mark();
    let total: u64 = sent.iter().sum();
    let most = sent.iter().copied().max().unwrap_or(0);
    let observations = &fleet.observations;
    ConfigurationReport {
        nodes: options.nodes,
        virtual_seconds: end.since(Time::ZERO).as_secs_f64(),
        edits_accepted: observations.accepted_edits(),
        edits_refused: fleet.refused_edits,
        replies_lost: fleet.lost_replies,
        spread_s: percentiles(times.last_node),
        node_spread_s: percentiles(times.each_node),
        spread_after_heal_s: percentiles(times.last_node_after_heal),
        unreached: times.unreached,
        reverted: observations.reverted,
        revision_checks: observations.revision_checks,
        old_settings_trusted_s: observations.old_settings_trusted.as_secs_f64(),
        untrusted_node_seconds: observations.untrusted.as_secs_f64(),
        store_readers_max: fleet.store.readers_max,
        store_reads_refused: fleet.store.refused,
        bytes_per_node_per_second: total as f64 / sent.len() as f64 / measured,
        busiest_node_bytes_per_second: most as f64 / measured,
        whole_tree_bytes: fleet.whole_tree_bytes(),
    }
}

fn percentiles(mut times: Vec<Duration>) -> Option<Percentiles> {
    times.sort_unstable();
    let last = times.len().checked_sub(1)?;
    let at = |permille: usize| {
        let rank = (times.len() * permille).div_ceil(1_000).saturating_sub(1);
        times[rank.min(last)].as_secs_f64()
    };
    Some(Percentiles {
        p50: at(500),
        p99: at(990),
        max: at(1_000),
    })
}
