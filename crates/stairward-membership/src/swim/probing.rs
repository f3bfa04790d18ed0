//! Finding out whether members answer.

use rand::RngExt as _;
use stairward_types::NodeId;

use super::updates::Source;
use super::{Step, SwimMember};
use crate::member::{Status, Version};
use crate::packet::{Message, Update};
use crate::probe::{Probe, ProbeStage};

impl SwimMember {
    /// Starts the probes that are due: of the next member in turn, and of one that has failed.
    pub(super) fn start_due_probes(&mut self, step: &mut Step<'_>) {
        if self.next_probe <= step.now {
            self.next_probe = step.now + self.health.stretch(self.config.probe_interval);
            if let Some(target) = self.order.next(step.rng) {
                self.start_probe(target, Vec::new(), step);
            }
        }
        if self.next_failed_probe <= step.now {
            let interval = self.config.failed_probe_interval;
            self.next_failed_probe = step.now + interval.mul_f64(0.5 + step.rng.random::<f64>());
            self.probe_one_failed(step);
        }
    }

    /// A lost connection is a reason to look at once.
    pub(super) fn probe_lost_peer(&mut self, node: NodeId, step: &mut Step<'_>) {
        let is_known = self.table.live(node).is_some();
        if is_known && node != self.me.node && !self.outstanding.is_probing(node) {
            self.start_probe(node, Vec::new(), step);
        }
    }

    /// A peer's view holds members failed that this node's view holds alive: since a partition that
    /// has healed, or because this node missed the news. One of them is probed and told what is said
    /// of it. Many nodes compare their views, so that each such member is told soon.
    pub(super) fn question_failures(&mut self, updates: &[Update], step: &mut Step<'_>) {
        let questionable: Vec<&Update> = updates
            .iter()
            .filter(|update| self.is_questionable(update))
            .collect();
        if questionable.is_empty() {
            return;
        }
        let chosen = questionable[step.rng.random_range(0..questionable.len())].clone();
        if let Update::Failed { node, .. } = chosen
            && !self.outstanding.is_probing(node)
        {
            self.start_probe(node, vec![chosen], step);
        }
    }

    fn is_questionable(&self, update: &Update) -> bool {
        let Update::Failed { node, version } = update else {
            return false;
        };
        *node != self.me.node
            && self
                .table
                .live(*node)
                .is_some_and(|record| record.version <= *version)
    }

    /// Probes a member and tells it these updates, besides what is believed of it.
    fn start_probe(&mut self, target: NodeId, updates: Vec<Update>, step: &mut Step<'_>) {
        let sequence = self.next_sequence();
        let deadline = step.now + self.health.stretch(self.config.direct_timeout);
        let probe = Probe {
            target,
            stage: ProbeStage::Direct,
            deadline,
        };
        self.outstanding.probes.insert(sequence, probe);
        self.ping(target, sequence, updates, step);
    }

    /// Pings without waiting for the answer: what counts is that the member hears what is believed
    /// of it.
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

    /// Members on the far side of a partition look failed. Probing them finds out when it heals.
    fn probe_one_failed(&mut self, step: &mut Step<'_>) {
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

    /// Moves on the probes and relays whose time is up.
    pub(super) fn end_probe_stages(&mut self, step: &mut Step<'_>) {
        for relay in self.outstanding.take_due_relays(step.now) {
            let sequence = relay.sequence;
            self.send(
                relay.requester,
                Message::Nack { sequence },
                Vec::new(),
                step,
            );
        }
        for (sequence, probe) in self.outstanding.take_due_probes(step.now) {
            match probe.stage {
                ProbeStage::Direct => self.ask_others(sequence, probe.target, step),
                ProbeStage::Indirect { asked, heard_nack } => {
                    if asked > 0 && !heard_nack {
                        self.health.worsen();
                    }
                    self.suspect(probe.target, step);
                }
            }
        }
    }

    fn ask_others(&mut self, sequence: u64, target: NodeId, step: &mut Step<'_>) {
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
                asked: helpers.len(),
                heard_nack: false,
            },
            deadline: step.now + self.health.stretch(self.config.indirect_timeout),
        };
        self.outstanding.probes.insert(sequence, probe);
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

    /// Declares members failed whose time to refute is up.
    pub(super) fn end_suspicions(&mut self, step: &mut Step<'_>) {
        while let Some(node) = self.suspicions.pop_due(step.now) {
            if let Some(version) = self.table.live(node).map(|record| record.version) {
                self.fail(node, version, Source::Gossip, step);
            }
        }
    }

    /// Knocks at the addresses where others may be found.
    pub(super) fn introduce(&mut self, step: &mut Step<'_>) {
        let is_alone = self.table.live_count() <= 1;
        let maximum = if is_alone {
            self.config.maximum_introduction_interval_alone
        } else {
            self.config.maximum_introduction_interval
        };
        for address in self.introductions.take_due(step.now, maximum) {
            if self.table.live_at(address).is_none() {
                let sequence = self.next_sequence();
                let myself = Update::Alive(self.me.clone());
                self.send(address, Message::Introduce { sequence }, vec![myself], step);
            }
        }
    }
}
