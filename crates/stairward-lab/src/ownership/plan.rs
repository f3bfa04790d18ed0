//! Which nodes a fault hits, and when.

use std::collections::BTreeSet;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use stairward_types::{Duration, Time};

use super::fault::Fault;
use super::report::OwnershipOptions;
use crate::simulated_network::{NodeIndex, Topology};

/// When the fault begins; by then every back end has its owner and standby.
pub(super) const FAULT_AT: Time = Time::from_millis(5_000);
/// Window in which pauses begin.
const PAUSE_WINDOW_MILLIS: u64 = 5_000;
/// Longest pause.
const LONGEST_PAUSE_MILLIS: u64 = 8_000;

/// Which nodes a fault hits, and which sets of nodes anybody may come to believe alive.
#[derive(Debug, Default)]
pub(super) struct Plan {
    pub(super) failing: BTreeSet<NodeIndex>,
    pub(super) pauses: Vec<(NodeIndex, Time, Duration)>,
    pub(super) other_half: BTreeSet<NodeIndex>,
    pub(super) subsets: Vec<BTreeSet<NodeIndex>>,
}

impl Plan {
    pub(super) fn new(
        options: &OwnershipOptions,
        topology: &Topology,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let all: BTreeSet<NodeIndex> = (0..options.nodes).collect();
        let mut plan = Self::default();
        match options.fault {
            Fault::None => {}
            Fault::NodeLoss => plan.failing = choose(&all, 10, random),
            Fault::ZoneLoss => {
                let zone = random.random_range(0..topology.zones());
                let in_zone = |node: &NodeIndex| topology.zone_index(*node) == zone;
                plan.failing = all.iter().copied().filter(in_zone).collect();
            }
            Fault::Pause => {
                for node in choose(&all, 5, random) {
                    let start = random.random_range(0..PAUSE_WINDOW_MILLIS);
                    let pause = random.random_range(1..=LONGEST_PAUSE_MILLIS);
                    let at = FAULT_AT + Duration::from_millis(start);
                    plan.pauses.push((node, at, Duration::from_millis(pause)));
                }
            }
            Fault::Partition => plan.other_half = choose(&all, 2, random),
        }
        let gone = plan.pauses.iter().map(|(node, ..)| *node);
        let gone: BTreeSet<_> = gone.chain(plan.failing.iter().copied()).collect();
        plan.subsets.push(&all - &gone);
        plan.subsets.push(&all - &plan.other_half);
        plan.subsets.push(plan.other_half.clone());
        plan.subsets.push(all);
        plan
    }
}

/// Chooses one node in `one_in`, at least one.
fn choose(
    all: &BTreeSet<NodeIndex>,
    one_in: usize,
    random: &mut ChaCha8Rng,
) -> BTreeSet<NodeIndex> {
    let wanted = (all.len() / one_in).max(1);
    let mut chosen = BTreeSet::new();
    while chosen.len() < wanted {
        chosen.insert(random.random_range(0..all.len()));
    }
    chosen
}
