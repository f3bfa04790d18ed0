//! Suspicions and their timeouts.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, Time};

use crate::config::SwimConfig;

/// One suspected member.
#[derive(Debug, Clone)]
struct Suspicion {
    started: Time,
    deadline: Time,
    accusers: BTreeSet<NodeId>,
}

/// All suspected members, with the deadline of each for a refutation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspicions {
    suspicions: BTreeMap<NodeId, Suspicion>,
    deadlines: BTreeSet<(Time, NodeId)>,
}

impl Suspicions {
    /// Adds accusers of a member and starts a suspicion if there is none. More accusers shorten the
    /// timeout (Lifeguard, section IV-B); a larger fleet may lengthen it. Returns whether an
    /// accuser was new.
    pub fn accuse(
        &mut self,
        node: NodeId,
        accusers: &[NodeId],
        now: Time,
        members: usize,
        config: &SwimConfig,
    ) -> bool {
        let suspicion = self.suspicions.entry(node).or_insert_with(|| Suspicion {
            started: now,
            deadline: Time::NEVER,
            accusers: BTreeSet::new(),
        });
        let before = suspicion.accusers.len();
        for accuser in accusers {
            if suspicion.accusers.len() > config.confirmations {
                break;
            }
            suspicion.accusers.insert(*accuser);
        }
        let grew = suspicion.accusers.len() > before;
        let confirmations = suspicion.accusers.len().saturating_sub(1);
        self.deadlines.remove(&(suspicion.deadline, node));
        suspicion.deadline = suspicion.started
            + timeout(confirmations, config).mul_f64(config.suspicion_multiplier(members));
        self.deadlines.insert((suspicion.deadline, node));
        grew
    }

    /// The accusers of a member, in order.
    pub fn accusers(&self, node: NodeId) -> Vec<NodeId> {
        self.suspicions
            .get(&node)
            .map(|suspicion| suspicion.accusers.iter().copied().collect())
            .unwrap_or_default()
    }

    pub fn clear(&mut self, node: NodeId) {
        if let Some(suspicion) = self.suspicions.remove(&node) {
            self.deadlines.remove(&(suspicion.deadline, node));
        }
    }

    pub fn next_deadline(&self) -> Time {
        self.deadlines
            .first()
            .map_or(Time::NEVER, |(deadline, _)| *deadline)
    }

    /// Removes and returns a member whose deadline has passed.
    pub fn pop_due(&mut self, now: Time) -> Option<NodeId> {
        let (deadline, node) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.clear(node);
        Some(node)
    }

    /// Extends all suspicions after a pause of this process.
    pub fn postpone(&mut self, by: Duration) {
        for suspicion in self.suspicions.values_mut() {
            suspicion.started = suspicion.started + by;
            suspicion.deadline = suspicion.deadline + by;
        }
        self.deadlines = self
            .suspicions
            .iter()
            .map(|(node, suspicion)| (suspicion.deadline, *node))
            .collect();
    }
}

/// Decreases from the maximum to the minimum with the logarithm of the number of confirmations.
fn timeout(confirmations: usize, config: &SwimConfig) -> Duration {
    let range = config
        .suspicion_maximum
        .saturating_sub(config.suspicion_minimum);
    let wanted = config.confirmations.max(1);
    let share = logarithm(confirmations) / logarithm(wanted);
    let remaining = (1.0 - share).clamp(0.0, 1.0);
    config.suspicion_minimum + range.mul_f64(remaining)
}

fn logarithm(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)).ln_1p()
}
