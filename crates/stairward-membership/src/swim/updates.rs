//! Handling of updates on members, and announcements of this node's own status.

use std::sync::Arc;

use stairward_types::{NodeId, Time};

use super::{Effect, MemberChange, Step, SwimMember, alive_record};
use crate::member::{Profile, Record, Status, Version};
use crate::packet::Update;

/// How an update was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// By gossip; the update is new and is disseminated further.
    Gossip,
    /// In a comparison of views. The update may be old and is not disseminated further, since every
    /// node compares its view.
    Comparison,
}

impl SwimMember {
    /// Applies an update; returns whether it changed a record.
    pub(super) fn apply(&mut self, update: &Update, source: Source, step: &mut Step<'_>) -> bool {
        match update {
            Update::Alive(profile) => self.apply_alive(profile, source, step),
            Update::Suspect {
                node,
                version,
                accusers,
            } => self.apply_suspect(*node, *version, accusers, source, step),
            Update::Failed { node, version } => self.apply_failed(*node, *version, source, step),
            Update::Left { node, version } => self.apply_left(*node, *version, source, step),
        }
    }

    fn apply_alive(&mut self, profile: &Arc<Profile>, source: Source, step: &mut Step<'_>) -> bool {
        if profile.node == self.me.node {
            if profile.version > self.me.version {
                self.refute(profile.version, step);
            }
            return false;
        }
        let old = self.table.get(profile.node);
        if old.is_some_and(|old| profile.version <= old.version) {
            return self.complete_profile(profile);
        }
        if self.is_superseded_at_address(profile) {
            return false;
        }
        let old = old.cloned();
        self.displace_from_address(profile, step);
        self.suspicions.clear(profile.node);
        self.set_record(alive_record(profile, step.now), step);
        self.report_alive(profile, old.as_ref(), step);
        self.broadcast(Update::Alive(Arc::clone(profile)), source, step);
        true
    }

    /// Fills in the profile of a version that was known only from updates by other members.
    fn complete_profile(&mut self, profile: &Arc<Profile>) -> bool {
        let Some(old) = self.table.get(profile.node) else {
            return false;
        };
        if profile.version != old.version || old.profile.version == old.version {
            return false;
        }
        let completed = Record {
            profile: Arc::clone(profile),
            ..old.clone()
        };
        self.view_changed = true;
        self.table.put(completed);
        true
    }

    /// Whether another member has started at the same address since.
    fn is_superseded_at_address(&self, profile: &Profile) -> bool {
        self.table.live_at(profile.address).is_some_and(|holder| {
            holder.profile.node != profile.node
                && holder.profile.version.incarnation > profile.version.incarnation
        })
    }

    /// Marks another member at the same address as failed, since a new process has taken its
    /// address.
    fn displace_from_address(&mut self, profile: &Profile, step: &mut Step<'_>) {
        let Some(holder) = self.table.live_at(profile.address) else {
            return;
        };
        let (node, version) = (holder.profile.node, holder.version);
        if node != profile.node && node != self.me.node {
            self.fail(node, version, Source::Gossip, step);
        }
    }

    fn report_alive(&self, profile: &Profile, old: Option<&Record>, step: &mut Step<'_>) {
        let was_live_in_this_incarnation = old.is_some_and(|old| {
            old.status.is_live() && old.version.incarnation == profile.version.incarnation
        });
        let was_leaving = old.is_some_and(|old| old.profile.leaving);
        let change = match () {
            () if !was_live_in_this_incarnation => MemberChange::Joined,
            () if profile.leaving && !was_leaving => MemberChange::Leaving,
            () => MemberChange::Refuted,
        };
        report(profile.node, change, step);
    }

    pub(super) fn apply_suspect(
        &mut self,
        node: NodeId,
        version: Version,
        accusers: &[NodeId],
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        if node == self.me.node {
            self.refute_if_current(version, step);
            return false;
        }
        let Some(record) = self.table.get(node) else {
            return false;
        };
        let is_same_suspicion = record.status == Status::Suspect && record.version == version;
        if is_same_suspicion {
            return self.confirm_suspicion(node, version, accusers, source, step);
        }
        if !record.is_overridden_by(version, Status::Suspect) {
            return false;
        }
        let suspected = Record {
            version,
            status: Status::Suspect,
            since: step.now,
            ..record.clone()
        };
        self.suspicions.clear(node);
        self.set_record(suspected, step);
        report(node, MemberChange::Suspected, step);
        self.confirm_suspicion(node, version, accusers, source, step);
        true
    }

    fn confirm_suspicion(
        &mut self,
        node: NodeId,
        version: Version,
        accusers: &[NodeId],
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        let members = self.table.live_count();
        let grew = self
            .suspicions
            .accuse(node, accusers, step.now, members, &self.config);
        if grew {
            let accusers = self.suspicions.accusers(node);
            let update = Update::Suspect {
                node,
                version,
                accusers,
            };
            self.broadcast(update, source, step);
        }
        grew
    }

    /// Initial transmission count of the end of a suspicion, which most nodes detect on their own.
    fn half_retransmit_limit(&self) -> u32 {
        self.config.retransmit_limit(self.table.live_count()) / 2
    }

    fn apply_failed(
        &mut self,
        node: NodeId,
        version: Version,
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        if node == self.me.node {
            self.refute_if_current(version, step);
            return false;
        }
        if source == Source::Comparison && self.table.live(node).is_some() {
            // The failure may date from a partition that has healed.
            return false;
        }
        if self.is_catching_up(step.now) && self.table.live(node).is_some() {
            // The update may be old, and the member may have refuted it since.
            return self.apply_suspect(node, version, &[self.me.node], source, step);
        }
        self.fail(node, version, source, step)
    }

    /// Marks a member as failed.
    pub(super) fn fail(
        &mut self,
        node: NodeId,
        version: Version,
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        let update = Update::Failed { node, version };
        self.end_membership(node, version, Status::Failed, update, source, step)
    }

    fn apply_left(
        &mut self,
        node: NodeId,
        version: Version,
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        if node == self.me.node {
            self.refute_if_current(version, step);
            return false;
        }
        let update = Update::Left { node, version };
        self.end_membership(node, version, Status::Left, update, source, step)
    }

    fn end_membership(
        &mut self,
        node: NodeId,
        version: Version,
        status: Status,
        update: Update,
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        let Some(record) = self.table.get(node) else {
            return false;
        };
        if !record.is_overridden_by(version, status) {
            return false;
        }
        let was_live = record.status.is_live();
        let was_suspected = record.status == Status::Suspect;
        let ended = Record {
            version,
            status,
            since: step.now,
            ..record.clone()
        };
        self.suspicions.clear(node);
        self.set_record(ended, step);
        if was_live {
            let change = match status {
                Status::Left => MemberChange::Left,
                _ => MemberChange::Failed,
            };
            report(node, change, step);
        }
        let sent = if was_suspected {
            self.half_retransmit_limit()
        } else {
            0
        };
        self.broadcast_with_count(update, sent, source, step);
        true
    }

    /// Stores a record, and updates the probe order and the view-change flag.
    fn set_record(&mut self, record: Record, step: &mut Step<'_>) {
        let node = record.profile.node;
        let old = self.table.live(node);
        let was_live = old.is_some();
        let is_live = record.status.is_live();
        self.view_changed |= match old {
            Some(old) => !is_live || !is_equivalent(&old.profile, &record.profile),
            None => is_live,
        };
        self.table.put(record);
        if is_live && !was_live {
            self.order.insert(node, step.rng);
        }
        if was_live && !is_live {
            self.order.remove(node);
        }
    }

    fn broadcast(&mut self, update: Update, source: Source, step: &mut Step<'_>) {
        self.broadcast_with_count(update, 0, source, step);
    }

    fn broadcast_with_count(
        &mut self,
        update: Update,
        sent: u32,
        source: Source,
        step: &mut Step<'_>,
    ) {
        if source == Source::Gossip {
            self.update_queue.push_with_count(update, sent);
            self.schedule_gossip(step);
        }
    }

    fn refute_if_current(&mut self, claimed: Version, step: &mut Step<'_>) {
        if claimed >= self.me.version && !self.has_departed {
            self.health.worsen();
            self.refute(claimed, step);
        }
    }

    /// Announces this node as alive with a version higher than the claimed one.
    fn refute(&mut self, claimed: Version, step: &mut Step<'_>) {
        let version = claimed.max(self.me.version).next();
        let leaving = self.me.leaving;
        self.announce_self(version, leaving, step);
    }

    /// Announces a planned stop, which cannot be revoked in this incarnation.
    pub(super) fn announce_leave(&mut self, step: &mut Step<'_>) {
        if !self.me.leaving {
            let version = self.me.version.next();
            self.announce_self(version, true, step);
            self.view_changed = true;
            self.gossip_now(step);
        }
    }

    fn announce_self(&mut self, version: Version, leaving: bool, step: &mut Step<'_>) {
        self.me = Arc::new(Profile {
            version,
            leaving,
            ..(*self.me).clone()
        });
        self.table.put(alive_record(&self.me, step.now));
        let update = Update::Alive(Arc::clone(&self.me));
        self.broadcast(update, Source::Gossip, step);
    }

    /// Announces that this process exits.
    pub(super) fn depart(&mut self, step: &mut Step<'_>) {
        if self.has_departed {
            return;
        }
        self.has_departed = true;
        self.next_probe = Time::NEVER;
        self.next_failed_probe = Time::NEVER;
        self.pending_probes.clear();
        let update = Update::Left {
            node: self.me.node,
            version: self.me.version,
        };
        self.broadcast(update, Source::Gossip, step);
        self.gossip_now(step);
    }
}

/// Whether two profiles of a member are equal for users of the view.
fn is_equivalent(old: &Profile, new: &Profile) -> bool {
    old.version.incarnation == new.version.incarnation
        && old.address == new.address
        && old.leaving == new.leaving
        && old.region == new.region
        && old.zone == new.zone
}

fn report(node: NodeId, change: MemberChange, step: &mut Step<'_>) {
    step.effects.push(Effect::MemberChanged { node, change });
}
