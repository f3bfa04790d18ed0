//! The shares lent to a coordinator for one shard, and their sum over time.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{NodeId, Time};

/// The sum of all shares.
const WHOLE: u64 = 1 << 32;

/// A loan of one node.
#[derive(Debug, Clone, Copy)]
struct Loan {
    until: Time,
    share: u64,
}

/// The loans of one shard.
#[derive(Debug, Default)]
pub(crate) struct LentShares {
    loans: BTreeMap<NodeId, Loan>,
    ends: BTreeSet<(Time, NodeId)>,
    sum: u64,
    /// The lent fraction, integrated over time, in seconds.
    lent_seconds: f64,
    advanced_to: Time,
}

impl LentShares {
    /// Advances to a time, ending the loans that expire before it in order.
    pub fn advance(&mut self, now: Time) {
        while let Some((until, node)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.accrue(until);
            self.remove(node);
        }
        self.accrue(now);
    }

    fn accrue(&mut self, until: Time) {
        let elapsed = until.since(self.advanced_to);
        self.lent_seconds += elapsed.as_secs_f64() * self.fraction();
        self.advanced_to = self.advanced_to.max(until);
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(loan) = self.loans.remove(&node) {
            self.ends.remove(&(loan.until, node));
            self.sum -= loan.share;
        }
    }

    /// Adds the loan of a node, which lends one of `nodes` shares. It replaces an earlier loan of
    /// the same node, so a duplicate message lends only once.
    pub fn lend(&mut self, now: Time, node: NodeId, nodes: u32, until: Time) {
        self.advance(now);
        let known = self.loans.get(&node).map(|loan| loan.until);
        let until = known.map_or(until, |known| known.max(until));
        self.remove(node);
        if until <= now {
            return;
        }
        let share = WHOLE / u64::from(nodes.max(1));
        self.loans.insert(node, Loan { until, share });
        self.ends.insert((until, node));
        self.sum += share;
    }

    /// The fraction of the whole that is lent now, at most 1.
    pub fn fraction(&self) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "both are far below 2^53")]
        let fraction = self.sum as f64 / WHOLE as f64;
        fraction.min(1.0)
    }

    /// The lent fraction, integrated over the time since the process started, in seconds.
    pub fn lent_seconds(&self) -> f64 {
        self.lent_seconds
    }
}
