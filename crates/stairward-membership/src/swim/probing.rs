//! Failure detection: direct and indirect probes, suspicions and introductions.

use rand::RngExt as _;
use stairward_types::NodeId;

use super::updates::Source;
use super::{Step, SwimMember};
use crate::member::{Status, Version};
use crate::packet::{Message, Update};
use crate::probe::{Probe, ProbeStage};

impl SwimMember {
    /// Starts the probes that are due: one of the next member in order, and one of a failed member.
    pub(super) fn start_due_probes(&mut self, step: &mut Step<'_>) {
        if self.next_probe <= step.now {
            self.next_probe = step.now + self.health.scale(self.config.probe_interval);
            if let Some(target) = self.order.next(step.rng) {
                self.start_probe(target, Vec::new(), step);
            }
        }
        if self.next_failed_probe <= step.now {
            let interval = self.config.failed_probe_interval;
            self.next_failed_probe = step.now + interval.mul_f64(0.5 + step.rng.random::<f64>());
            self.ping_random_failed_member(step);
        }
    }

    /// Probes a member at once after a connection to it was lost.
    pub(super) fn probe_lost_peer(&mut self, node: NodeId, step: &mut Step<'_>) {
        let is_known = self.table.live(node).is_some();
        if is_known && node != self.me.node && !self.pending_probes.is_probing(node) {
            self.start_probe(node, Vec::new(), step);
        }
    }

    /// Handles failures reported in a comparison of members that are live in this node's view.
    /// Either they date from a partition that has healed, or this node missed the updates. One such
    /// member is probed and sent the report, so that it can refute it. Many nodes compare views, so
    /// each such member soon receives a probe.
    pub(super) fn probe_disputed_failure(&mut self, updates: &[Update], step: &mut Step<'_>) {
        let disputed: Vec<&Update> = updates
            .iter()
            .filter(|update| self.is_disputed(update))
            .collect();
        if disputed.is_empty() {
            return;
        }
        let chosen = disputed[step.rng.random_range(0..disputed.len())].clone();
        if let Update::Failed { node, .. } = chosen
            && !self.pending_probes.is_probing(node)
        {
            self.start_probe(node, vec![chosen], step);
        }
    }

    fn is_disputed(&self, update: &Update) -> bool {
        let Update::Failed { node, version } = update else {
            return false;
        };
        *node != self.me.node
            && self
                .table
                .live(*node)
                .is_some_and(|record| record.version <= *version)
    }

    /// Probes a member, sending it these updates and its status if it is not considered alive.
    fn start_probe(&mut self, target: NodeId, updates: Vec<Update>, step: &mut Step<'_>) {
        let sequence = self.next_sequence();
        let deadline = step.now + self.health.scale(self.config.direct_timeout);
        let probe = Probe {
            target,
            stage: ProbeStage::Direct,
            deadline,
        };
        self.pending_probes.probes.insert(sequence, probe);
        self.ping(target, sequence, updates, step);
    }

    /// Pings a member without waiting for an answer, to inform it of its status.
    pub(super) fn ping_untracked(&mut self, target: NodeId, step: &mut Step<'_>) {
        let sequence = self.next_sequence();
        self.ping(target, sequence, Vec::new(), step);
    }

    fn ping(
        &mut self,
        target: NodeId,
        sequence: u64,
        mut updates: Vec<Update>,
        step: &mut Step<'_>,
    ) {
        if let Some(address) = self.address(target) {
            updates.extend(self.accusation(target, Version::default()));
            let message = Message::Ping { sequence, target };
            self.send(address, message, updates, step);
        }
    }

    /// Pings a failed member at random. Members on the other side of a partition appear failed; a
    /// ping reaches them once it has healed.
    fn ping_random_failed_member(&mut self, step: &mut Step<'_>) {
        let failed: Vec<NodeId> = self
            .table
            .records()
            .filter(|record| record.status == Status::Failed)
            .map(|record| record.profile.node)
            .collect();
        if !failed.is_empty() {
            let chosen = failed[step.rng.random_range(0..failed.len())];
            self.ping_untracked(chosen, step);
        }
    }

    /// Advances probes and relays whose deadline has passed.
    pub(super) fn advance_probes(&mut self, step: &mut Step<'_>) {
        for relay in self.pending_probes.take_due_relays(step.now) {
            let sequence = relay.sequence;
            self.send(
                relay.requester,
                Message::Nack { sequence },
                Vec::new(),
                step,
            );
        }
        for (sequence, probe) in self.pending_probes.take_due_probes(step.now) {
            match probe.stage {
                ProbeStage::Direct => self.send_indirect_pings(sequence, probe.target, step),
                ProbeStage::Indirect {
                    helper_count,
                    received_nack,
                } => {
                    if helper_count > 0 && !received_nack {
                        self.health.worsen();
                    }
                    self.suspect(probe.target, step);
                }
            }
        }
    }

    fn send_indirect_pings(&mut self, sequence: u64, target: NodeId, step: &mut Step<'_>) {
        let table = &self.table;
        let helpers = self
            .order
            .pick(self.config.indirect_probes, step.rng, |node| {
                node != target
                    && table
                        .live(node)
                        .is_some_and(|record| record.status == Status::Alive)
            });
        let Some(address) = self.address(target) else {
            return;
        };
        for helper in &helpers {
            if let Some(helper_address) = self.address(*helper) {
                let message = Message::IndirectPing {
                    sequence,
                    target,
                    address,
                };
                self.send(helper_address, message, Vec::new(), step);
            }
        }
        let probe = Probe {
            target,
            stage: ProbeStage::Indirect {
                helper_count: helpers.len(),
                received_nack: false,
            },
            deadline: step.now + self.health.scale(self.config.indirect_timeout),
        };
        self.pending_probes.probes.insert(sequence, probe);
    }

    fn suspect(&mut self, node: NodeId, step: &mut Step<'_>) {
        let Some(record) = self.table.live(node) else {
            return;
        };
        let version = record.version;
        let accuser = self.me.node;
        self.apply_suspect(node, version, &[accuser], Source::Gossip, step);
        self.ping_untracked(node, step);
    }

    /// Marks members as failed that did not refute a suspicion in time.
    pub(super) fn expire_suspicions(&mut self, step: &mut Step<'_>) {
        while let Some(node) = self.suspicions.pop_due(step.now) {
            if let Some(version) = self.table.live(node).map(|record| record.version) {
                self.fail(node, version, Source::Gossip, step);
            }
        }
    }

    /// Sends introductions to the due seed and machine addresses that belong to no live member.
    pub(super) fn send_introductions(&mut self, step: &mut Step<'_>) {
        let is_alone = self.table.live_count() <= 1;
        let maximum = if is_alone {
            self.config.maximum_introduction_interval_alone
        } else {
            self.config.maximum_introduction_interval
        };
        for address in self.introductions.take_due(step.now, maximum) {
            if self.table.live_at(address).is_none() {
                let sequence = self.next_sequence();
                let own_profile = Update::Alive(self.me.clone());
                self.send(
                    address,
                    Message::Introduce { sequence },
                    vec![own_profile],
                    step,
                );
            }
        }
    }
}
