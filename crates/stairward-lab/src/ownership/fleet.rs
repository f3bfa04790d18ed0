//! The fleet: nodes with claims, back ends, and what happens between them.

use std::collections::BTreeSet;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use stairward_pool::OwnerRole;
use stairward_pool::lease::LeaseEvent;
use stairward_types::{Duration, Time};

use super::agenda::Agenda;
use super::backend::SimulatedBackend;
use super::claim::{Claim, ClaimIndex};
use super::event::{BackendEvent, Event};
use super::plan::{FAULT_AT, Plan};
use super::report::{OwnershipOptions, OwnershipWeakness};
use super::service_watch::{Gaps, ServiceWatch};
use super::views::{Views, zone_of};
use crate::simulated_network::{Latencies, NodeIndex, Topology};

/// Connections each back end allows, as at Lintas.
pub(super) const CONNECTION_LIMIT: u32 = 40;
/// How long a run is.
const END: Time = Time::from_millis(25_000);
/// How long a partition lasts.
const PARTITION: Duration = Duration::from_secs(10);
/// Time until a node learns of another's failure: what `stairward-lab membership` measures from the
/// first to the last node.
const DETECTION_MILLIS: std::ops::RangeInclusive<u64> = 900..=2_500;
/// Time until a node learns that another is back.
const RETURN_MILLIS: std::ops::RangeInclusive<u64> = 200..=1_000;

/// The whole simulation.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) agenda: Agenda<Event>,
    pub(super) random: ChaCha8Rng,
    pub(super) topology: Topology,
    pub(super) views: Views,
    pub(super) claims: Vec<Claim>,
    pub(super) claims_by_node: Vec<Vec<ClaimIndex>>,
    pub(super) backends: Vec<SimulatedBackend>,
    pub(super) watch: ServiceWatch,
    pub(super) failed: Vec<bool>,
    pub(super) paused_until: Vec<Time>,
    pub(super) next_session: u64,
    pub(super) late_connections: u64,
    pub(super) leases_lapsed: u64,
    pub(super) weakness: Option<OwnershipWeakness>,
}

impl Fleet {
    pub(super) fn new(options: &OwnershipOptions) -> Self {
        let topology = Topology::two_regions(options.nodes, Latencies::lintas());
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let plan = Plan::new(options, &topology, &mut random);
        let views = Views::new(&topology, options.backends, &plan.subsets);
        let backends = (0..options.backends).map(|_| SimulatedBackend::new(CONNECTION_LIMIT));
        let mut fleet = Self {
            agenda: Agenda::new(),
            random,
            views,
            claims: Vec::new(),
            claims_by_node: vec![Vec::new(); options.nodes],
            backends: backends.collect(),
            watch: ServiceWatch::new(options.backends),
            failed: vec![false; options.nodes],
            paused_until: vec![Time::ZERO; options.nodes],
            topology,
            next_session: 1,
            late_connections: 0,
            leases_lapsed: 0,
            weakness: options.weakness,
        };
        fleet.make_claims();
        fleet.schedule(&plan);
        fleet
    }

    pub(super) fn run(&mut self) {
        for node in 0..self.topology.len() {
            self.want(node);
        }
        while self.agenda.now() < END {
            let Some(event) = self.agenda.next_event() else {
                return;
            };
            self.happen(event);
        }
    }

    pub(super) fn now(&self) -> Time {
        self.agenda.now()
    }

    pub(super) fn limit_exceeded(&self) -> u64 {
        self.backends.iter().map(|backend| backend.exceeded).sum()
    }

    pub(super) fn most_connections(&self) -> u32 {
        let most = self.backends.iter().map(|backend| backend.most);
        most.max().unwrap_or_default()
    }

    pub(super) const fn late_connections(&self) -> u64 {
        self.late_connections
    }

    pub(super) const fn leases_lapsed(&self) -> u64 {
        self.leases_lapsed
    }

    pub(super) fn gaps(self) -> Gaps {
        self.watch.finish()
    }

    fn make_claims(&mut self) {
        for node in 0..self.topology.len() {
            for backend in self.views.contended_by(node) {
                for role in OwnerRole::ALL {
                    self.claims_by_node[node].push(self.claims.len());
                    let claim = Claim::new(node, backend, role, CONNECTION_LIMIT);
                    self.claims.push(claim);
                }
            }
        }
    }

    fn schedule(&mut self, plan: &Plan) {
        for node in &plan.failing {
            self.agenda.at(FAULT_AT, Event::Fails(*node));
            self.spread(*node, FAULT_AT, true, &plan.failing);
        }
        for (node, at, pause) in &plan.pauses {
            self.agenda.at(*at, Event::Pauses(*node, *pause));
            let detected = Duration::from_millis(*DETECTION_MILLIS.start());
            if *pause > detected {
                self.spread(*node, *at, true, &BTreeSet::new());
                let back = *at + (*pause).max(Duration::from_millis(*DETECTION_MILLIS.end()));
                self.spread(*node, back, false, &BTreeSet::new());
            }
        }
        for node in &plan.other_half {
            let own_half = &plan.other_half;
            self.spread(*node, FAULT_AT, true, own_half);
            self.spread(*node, FAULT_AT + PARTITION, false, own_half);
        }
        let near_half: BTreeSet<_> = match plan.other_half.is_empty() {
            true => BTreeSet::new(),
            false => (0..self.topology.len())
                .filter(|node| !plan.other_half.contains(node))
                .collect(),
        };
        for node in &near_half {
            self.spread(*node, FAULT_AT, true, &near_half);
            self.spread(*node, FAULT_AT + PARTITION, false, &near_half);
        }
    }

    /// Has every node outside `except` learn, each in its time, that a node failed or is back.
    fn spread(&mut self, other: NodeIndex, at: Time, failed: bool, except: &BTreeSet<NodeIndex>) {
        for node in (0..self.topology.len()).filter(|node| *node != other) {
            let range = if failed {
                DETECTION_MILLIS
            } else {
                RETURN_MILLIS
            };
            let delay = Duration::from_millis(self.random.random_range(range));
            if !except.contains(&node) {
                let event = Event::Learnt {
                    node,
                    other,
                    failed,
                };
                self.agenda.at(at + delay, event);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        let node = match &event {
            Event::AtBackend(claim, what) => {
                self.at_backend(*claim, *what);
                return;
            }
            Event::Fails(node) => {
                self.fail(*node);
                return;
            }
            Event::Pauses(node, pause) => {
                self.pause(*node, *pause);
                return;
            }
            Event::Learnt { node, .. } | Event::RolesChanged(node) | Event::Resumes(node) => *node,
            Event::Wake(claim)
            | Event::AttemptAnswered { claim, .. }
            | Event::LeftoversEnded(claim)
            | Event::SendProbe { claim, .. }
            | Event::ProbeAnswered { claim, .. }
            | Event::SendOpening(claim)
            | Event::OpeningFinished(claim)
            | Event::SessionsEnded { claim, .. }
            | Event::WorkEnded(claim)
            | Event::HandedOver(claim) => self.claims[*claim].node,
        };
        if self.failed[node] {
            return;
        }
        if self.paused_until[node] > self.agenda.now() {
            self.agenda.at(self.paused_until[node], event);
            return;
        }
        self.at_node(event);
    }

    fn fail(&mut self, node: NodeIndex) {
        self.failed[node] = true;
        self.stop_serving(node);
    }

    fn pause(&mut self, node: NodeIndex, pause: Duration) {
        self.paused_until[node] = self.agenda.now() + pause;
        self.stop_serving(node);
        self.agenda.after(pause, Event::Resumes(node));
    }

    /// Whatever a node still holds when it wakes up is served again.
    pub(super) fn resume(&mut self, node: NodeIndex) {
        let now = self.agenda.now();
        for claim in self.claims_by_node[node].clone() {
            self.tell(claim, LeaseEvent::Tick);
            let state = &self.claims[claim];
            if state.in_use {
                self.watch.starts(state.backend, state.role, claim, now);
            }
        }
    }

    fn stop_serving(&mut self, node: NodeIndex) {
        let now = self.agenda.now();
        for claim in &self.claims_by_node[node] {
            let state = &self.claims[*claim];
            self.watch.stops(state.backend, state.role, *claim, now);
        }
    }

    /// Sends something to a claim's back end; `work` is added to the latency.
    pub(super) fn send(&mut self, claim: ClaimIndex, work: Duration, what: BackendEvent) {
        let delay = self.latency(claim) + work;
        self.agenda.after(delay, Event::AtBackend(claim, what));
    }

    /// One-way latency between a claim's node and its back end, with jitter.
    pub(super) fn latency(&mut self, claim: ClaimIndex) -> Duration {
        let Claim { node, backend, .. } = self.claims[claim];
        let zone = zone_of(&self.topology, backend);
        let base = if self.topology.zone_index(node) == zone {
            Latencies::lintas().within_zone
        } else if self.topology.place(node).region == self.topology.place(zone).region {
            Latencies::lintas().between_zones
        } else {
            Latencies::lintas().between_regions
        };
        base + base.mul_f64(self.random.random_range(0.0..0.25))
    }
}
