//! Model check of two nodes that compete for the same role at one back end, with process pauses, slow messages
//! and connections that are established late. The sessions of the role must never exceed its share and the reserve.

mod support;

use std::time::Duration;

use stairward_pool::Lease;
use stairward_pool::lease::{LeaseEffect, LeaseEvent, LeaseSettings};
use stairward_types::Time;
use support::explorer::{Model, explore};

/// One time step, in clock units.
const STEP: u64 = 1;
const DURATION_STEPS: u64 = 3;
const LAST_STEP: u64 = 7;
/// Connections that the role may hold, and additional ones covered by the reserve.
const SHARE: usize = 2;
const RESERVE: usize = 1;

/// A defect of the driver or back end that the exploration must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The lease is measured from the receipt of the answer.
    CountsFromAnswer,
    /// The lease is not checked before a connection is opened.
    OpensUnchecked,
    /// The sessions of the earlier holder are not terminated.
    KeepsStaleSessions,
}

/// A probe between a node and the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Probe {
    None,
    Sent { at: u64 },
    Answered { sent_at: u64 },
}

#[derive(Debug, Clone)]
struct Node {
    lease: Lease,
    probe: Probe,
    /// Connections of the node by its own count.
    counted: usize,
    opening: bool,
    attempting_since: Option<u64>,
    may_use: bool,
}

#[derive(Debug, Clone)]
struct Cluster {
    fault: Fault,
    now: u64,
    nodes: [Node; 2],
    /// The node whose control session holds the lock.
    lock: Option<usize>,
    /// Time of the last request on that session.
    last_asked: u64,
    /// Statement sessions at the back end, by node.
    sessions: [usize; 2],
}

#[derive(Debug, Clone)]
enum Action {
    Step,
    /// The back end ends an idle control session.
    EndIdleSession,
    Tick(usize),
    SendProbe(usize),
    DeliverProbe(usize),
    DeliverAnswer(usize),
    Attempt(usize),
    StartOpening(usize),
    FinishOpening(usize),
    /// A node that may not use the role closes what it still has.
    CloseAll(usize),
}

impl Cluster {
    fn new(fault: Fault) -> Self {
        let settings = LeaseSettings {
            duration: Duration::from_micros(DURATION_STEPS),
            margin: Duration::from_micros(STEP),
            retry_interval: Duration::from_micros(STEP),
        };
        let node = Node {
            lease: Lease::new(settings),
            probe: Probe::None,
            counted: 0,
            opening: false,
            attempting_since: None,
            may_use: false,
        };
        let mut cluster = Self {
            fault,
            now: 0,
            nodes: [node.clone(), node],
            lock: None,
            last_asked: 0,
            sessions: [0; 2],
        };
        cluster.handle(0, LeaseEvent::Wanted(true));
        cluster.apply(&Action::Attempt(0));
        cluster.handle(1, LeaseEvent::Wanted(true));
        cluster
    }

    fn handle(&mut self, node: usize, event: LeaseEvent) {
        let effects = self.nodes[node].lease.handle(Time(self.now), event);
        for effect in effects {
            match effect {
                LeaseEffect::AcquireLock => self.nodes[node].attempting_since = Some(self.now),
                LeaseEffect::EndStaleSessions => self.end_stale_sessions(node),
                LeaseEffect::StartUse => self.nodes[node].may_use = true,
                LeaseEffect::StopUse => {
                    self.nodes[node].may_use = false;
                }
                LeaseEffect::CloseConnections | LeaseEffect::ReleaseLock => {}
            }
        }
    }

    fn end_stale_sessions(&mut self, node: usize) {
        if self.fault != Fault::KeepsStaleSessions {
            self.sessions[1 - node] = 0;
            // The other node notices that its connections ended, except the one being opened.
            self.nodes[1 - node].counted = usize::from(self.nodes[1 - node].opening);
        }
        self.handle(node, LeaseEvent::StaleSessionsEnded);
    }

    fn may_open(&self, node: usize) -> bool {
        let state = &self.nodes[node];
        let checked = match self.fault {
            Fault::OpensUnchecked => state.may_use,
            _ => state.lease.is_held(Time(self.now)),
        };
        checked && !state.opening && state.counted < SHARE
    }
}

impl Model for Cluster {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.now < LAST_STEP {
            actions.push(Action::Step);
        }
        let silent = self.now >= self.last_asked + DURATION_STEPS;
        if self.lock.is_some() && silent {
            actions.push(Action::EndIdleSession);
        }
        for (number, node) in self.nodes.iter().enumerate() {
            // A paused node is modelled by not choosing its actions for a while.
            if node.lease.next_wake().is_some_and(|due| due.0 <= self.now) {
                actions.push(Action::Tick(number));
            }
            if node.attempting_since.is_some() {
                actions.push(Action::Attempt(number));
            }
            match node.probe {
                Probe::None if self.lock == Some(number) => {
                    actions.push(Action::SendProbe(number));
                }
                Probe::None => {}
                Probe::Sent { .. } => actions.push(Action::DeliverProbe(number)),
                Probe::Answered { .. } => actions.push(Action::DeliverAnswer(number)),
            }
            if self.may_open(number) {
                actions.push(Action::StartOpening(number));
            }
            if !node.may_use && self.sessions[number] > 0 {
                actions.push(Action::CloseAll(number));
            }
            if node.opening {
                actions.push(Action::FinishOpening(number));
            }
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Step => self.now += STEP,
            Action::EndIdleSession => self.lock = None,
            Action::Tick(node) => self.handle(node, LeaseEvent::Tick),
            Action::SendProbe(node) => self.nodes[node].probe = Probe::Sent { at: self.now },
            Action::DeliverProbe(node) => {
                let Probe::Sent { at } = self.nodes[node].probe else {
                    return;
                };
                if self.lock == Some(node) {
                    self.last_asked = self.now;
                    self.nodes[node].probe = Probe::Answered { sent_at: at };
                } else {
                    self.nodes[node].probe = Probe::None;
                    self.handle(node, LeaseEvent::ControlConnectionLost);
                }
            }
            Action::DeliverAnswer(node) => {
                let Probe::Answered { sent_at } = self.nodes[node].probe else {
                    return;
                };
                self.nodes[node].probe = Probe::None;
                let sent_at = match self.fault {
                    Fault::CountsFromAnswer => self.now,
                    _ => sent_at,
                };
                let sent_at = Time(sent_at);
                self.handle(node, LeaseEvent::Renewed { sent_at });
            }
            Action::Attempt(node) => {
                let Some(sent_at) = self.nodes[node].attempting_since.take() else {
                    return;
                };
                if self.lock.is_none() {
                    self.lock = Some(node);
                    self.last_asked = self.now;
                    let sent_at = Time(sent_at);
                    self.handle(node, LeaseEvent::LockAcquired { sent_at });
                } else {
                    self.handle(node, LeaseEvent::LockNotAcquired);
                }
            }
            Action::StartOpening(node) => {
                self.nodes[node].opening = true;
                self.nodes[node].counted += 1;
            }
            Action::FinishOpening(node) => {
                self.nodes[node].opening = false;
                self.sessions[node] += 1;
            }
            Action::CloseAll(node) => {
                self.sessions[node] = 0;
                self.nodes[node].counted = usize::from(self.nodes[node].opening);
            }
        }
    }

    fn violation(&self) -> Option<String> {
        let held: usize = self.sessions.iter().sum();
        (held > SHARE + RESERVE)
            .then(|| format!("{held} sessions of one role exceed share and reserve"))
    }
}

#[test]
fn no_interleaving_exceeds_the_share_and_the_reserve() {
    let exploration = explore(Cluster::new(Fault::None));
    println!("{} states", exploration.states);
    assert_eq!(exploration.violation, None);
    assert!(
        exploration.states > 10_000,
        "the model has too few states to be a useful check"
    );
}

#[test]
fn every_injected_fault_is_detected() {
    for fault in [
        Fault::CountsFromAnswer,
        Fault::OpensUnchecked,
        Fault::KeepsStaleSessions,
    ] {
        let exploration = explore(Cluster::new(fault));
        assert!(exploration.violation.is_some(), "{fault:?}");
    }
}
