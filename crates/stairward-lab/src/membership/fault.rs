//! Which faults a simulated fleet meets, and when.

use std::str::FromStr;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use stairward_types::{Duration, Time};

use crate::simulated_network::{NodeIndex, Topology};

/// Single losses in one run at most.
const MAXIMUM_LOSSES: usize = 100;
/// Time between two single losses.
const LOSS_INTERVAL: Duration = Duration::from_millis(500);
/// Which zone is lost.
const LOST_ZONE: usize = 2;
/// Racks that a mass restart goes through.
const RACKS: usize = 28;
/// Racks that are not restarted: 26 of 28 are 1,300 of 1,400 nodes.
const RACKS_KEPT: usize = 2;
/// Time between the restarts of two racks.
const RACK_INTERVAL: Duration = Duration::from_secs(2);
/// How long a restarting process is away.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Nodes that are paused in one run.
const PAUSES: usize = 30;
/// Time between two pauses.
const PAUSE_INTERVAL: Duration = Duration::from_secs(1);
/// How long they last, in turn.
const PAUSE_LENGTHS: [Duration; 3] = [
    Duration::from_millis(800),
    Duration::from_secs(3),
    Duration::from_secs(10),
];
/// How long packets are lost without anything else happening.
const LOSSY_TIME: Duration = Duration::from_secs(60);

/// What befalls the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Single nodes are lost, one after another.
    NodeLoss,
    /// All nodes of a zone are lost at once.
    ZoneLoss,
    /// The regions lose each other for a while.
    RegionPartition(Duration),
    /// Rack after rack is restarted without notice.
    MassRestart,
    /// A share of all packets is lost, and single nodes are lost besides.
    PacketLoss(f64),
    /// Processes are not run for a while.
    Pause,
}

/// A fault that cannot be understood.
#[derive(Debug, Snafu)]
#[snafu(display(
    "{text:?} is not a fault: use none, node-loss, zone-loss, region-partition[=SECONDS], \
     mass-restart, packet-loss=PERCENT% or pause"
))]
pub struct FaultError {
    text: String,
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, FaultError> {
        let (name, value) = match text.split_once('=') {
            Some((name, value)) => (name, Some(value)),
            None => (text, None),
        };
        match (name, value) {
            ("none", None) => Some(Self::None),
            ("node-loss", None) => Some(Self::NodeLoss),
            ("zone-loss", None) => Some(Self::ZoneLoss),
            ("mass-restart", None) => Some(Self::MassRestart),
            ("pause", None) => Some(Self::Pause),
            ("region-partition", None) => Some(Self::RegionPartition(Duration::from_secs(60))),
            ("region-partition", Some(seconds)) => parse_seconds(seconds),
            ("packet-loss", Some(percent)) => parse_percent(percent),
            _ => None,
        }
        .ok_or_else(|| FaultError {
            text: text.to_owned(),
        })
    }
}

fn parse_seconds(text: &str) -> Option<Fault> {
    let seconds = text.parse().ok()?;
    Some(Fault::RegionPartition(Duration::from_secs(seconds)))
}

fn parse_percent(text: &str) -> Option<Fault> {
    let percent: f64 = text.strip_suffix('%')?.parse().ok()?;
    (0.0..100.0)
        .contains(&percent)
        .then_some(Fault::PacketLoss(percent / 100.0))
}

/// One thing that befalls the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// A process ends without notice, or its machine does.
    Kill(NodeIndex),
    /// A process starts in the place of one that ended.
    Restart(NodeIndex),
    /// A process is not run for so long.
    Pause(NodeIndex, Duration),
    /// The regions lose each other.
    Part,
    /// The regions reach each other again.
    Heal,
    /// From now on this share of packets is lost.
    Lose(f64),
}

/// The actions of a fault, with their times after its beginning, and how long it lasts.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// What happens when.
    pub actions: Vec<(Time, Action)>,
    /// When the last action has been done, and the fleet may settle.
    pub ends: Time,
}

impl Fault {
    /// Plans the fault from a point in time on.
    #[must_use]
    pub fn plan(self, topology: &Topology, start: Time, rng: &mut ChaCha8Rng) -> Plan {
        match self {
            Self::None => Plan {
                actions: Vec::new(),
                ends: start,
            },
            Self::NodeLoss => single_losses(topology, start, rng),
            Self::ZoneLoss => zone_loss(topology, start),
            Self::RegionPartition(length) => Plan {
                actions: vec![(start, Action::Part), (start + length, Action::Heal)],
                ends: start + length,
            },
            Self::MassRestart => mass_restart(topology, start),
            Self::PacketLoss(share) => packet_loss(share, topology, start, rng),
            Self::Pause => pauses(topology, start, rng),
        }
    }
}

fn single_losses(topology: &Topology, start: Time, rng: &mut ChaCha8Rng) -> Plan {
    let count = (topology.len() / 10).clamp(1, MAXIMUM_LOSSES);
    let victims = choose(topology.len(), count, rng);
    let mut at = start;
    let mut actions = Vec::new();
    for victim in victims {
        actions.push((at, Action::Kill(victim)));
        // Spread over the phases of the others' probes.
        at = at + LOSS_INTERVAL.mul_f64(0.5 + rng.random::<f64>());
    }
    Plan { actions, ends: at }
}

fn zone_loss(topology: &Topology, start: Time) -> Plan {
    let actions = (0..topology.len())
        .filter(|node| topology.zone_index(*node) == LOST_ZONE)
        .map(|node| (start, Action::Kill(node)))
        .collect();
    Plan {
        actions,
        ends: start,
    }
}

fn mass_restart(topology: &Topology, start: Time) -> Plan {
    let mut actions = Vec::new();
    let mut at = start;
    let rack_size = topology.len().div_ceil(RACKS).max(1);
    let restarted = topology.len().saturating_sub(RACKS_KEPT * rack_size);
    for first in (0..restarted).step_by(rack_size) {
        let rack = first..restarted.min(first + rack_size);
        for node in rack {
            actions.push((at, Action::Kill(node)));
            actions.push((at + RESTART_TIME, Action::Restart(node)));
        }
        at = at + RACK_INTERVAL;
    }
    Plan {
        actions,
        ends: at + RESTART_TIME,
    }
}

fn packet_loss(share: f64, topology: &Topology, start: Time, rng: &mut ChaCha8Rng) -> Plan {
    let mut plan = single_losses(topology, start + LOSSY_TIME, rng);
    plan.actions.insert(0, (start, Action::Lose(share)));
    plan
}

fn pauses(topology: &Topology, start: Time, rng: &mut ChaCha8Rng) -> Plan {
    let victims = choose(topology.len(), PAUSES.min(topology.len() / 2), rng);
    let mut at = start;
    let mut actions = Vec::new();
    for (number, victim) in victims.into_iter().enumerate() {
        let length = PAUSE_LENGTHS[number % PAUSE_LENGTHS.len()];
        actions.push((at, Action::Pause(victim, length)));
        at = at + PAUSE_INTERVAL;
    }
    let longest = PAUSE_LENGTHS.into_iter().max().unwrap_or_default();
    Plan {
        actions,
        ends: at + longest,
    }
}

/// Different nodes, at random.
fn choose(nodes: usize, count: usize, rng: &mut ChaCha8Rng) -> Vec<NodeIndex> {
    let mut all: Vec<NodeIndex> = (0..nodes).collect();
    for place in 0..count.min(nodes) {
        let other = rng.random_range(place..nodes);
        all.swap(place, other);
    }
    all.truncate(count);
    all
}
