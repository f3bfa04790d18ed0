//! Taking news of members, and speaking for oneself.

use std::sync::Arc;

use stairward_types::{NodeId, Time};

use super::{Effect, MemberChange, Step, SwimMember, alive_record};
use crate::member::{Profile, Record, Status, Version};
use crate::packet::Update;

/// How news came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// As fresh news, to be passed on.
    Gossip,
    /// By comparing views with another node. It may be old; it is not passed on, since every node
    /// compares its view.
    Comparison,
}

impl SwimMember {
    /// Takes news of a member; says whether it changed a belief.
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
        if self.is_stale_claim(profile) {
            return false;
        }
        let old = old.cloned();
        self.displace_from_address(profile, step);
        self.suspicions.clear(profile.node);
        self.believe(alive_record(profile, step.now), step);
        self.report_alive(profile, old.as_ref(), step);
        self.pass_on(Update::Alive(Arc::clone(profile)), source, step);
        true
    }

    /// A version heard of through others only lacks what the member says of itself.
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

    /// Whether another member has since started at the same address.
    fn is_stale_claim(&self, profile: &Profile) -> bool {
        self.table.live_at(profile.address).is_some_and(|holder| {
            holder.profile.node != profile.node
                && holder.profile.version.incarnation > profile.version.incarnation
        })
    }

    /// A process that starts at an address ends whichever member was there before.
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
        let was_live_in_this_life = old.is_some_and(|old| {
            old.status.is_live() && old.version.incarnation == profile.version.incarnation
        });
        let was_leaving = old.is_some_and(|old| old.profile.leaving);
        let change = match () {
            () if !was_live_in_this_life => MemberChange::Joined,
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
        self.believe(suspected, step);
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
            self.pass_on(update, source, step);
        }
        grew
    }

    /// Counted as sent already for the end of a suspicion, which ends at most nodes by itself.
    fn half_limit(&self) -> u32 {
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
            // Perhaps the failure stems from a partition that has healed.
            return false;
        }
        if self.is_catching_up(step.now) && self.table.live(node).is_some() {
            // Perhaps the news is old and the member has refuted it since.
            return self.apply_suspect(node, version, &[self.me.node], source, step);
        }
        self.fail(node, version, source, step)
    }

    /// Takes a member as failed.
    pub(super) fn fail(
        &mut self,
        node: NodeId,
        version: Version,
        source: Source,
        step: &mut Step<'_>,
    ) -> bool {
        let update = Update::Failed { node, version };
        self.end(node, version, Status::Failed, update, source, step)
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
        self.end(node, version, Status::Left, update, source, step)
    }

    fn end(
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
        self.believe(ended, step);
        if was_live {
            let change = match status {
                Status::Left => MemberChange::Left,
                _ => MemberChange::Failed,
            };
            report(node, change, step);
        }
        let sent = if was_suspected { self.half_limit() } else { 0 };
        self.pass_on_as_sent(update, sent, source, step);
        true
    }

    /// Puts a belief in force.
    fn believe(&mut self, record: Record, step: &mut Step<'_>) {
        let node = record.profile.node;
        let old = self.table.live(node);
        let was_live = old.is_some();
        let is_live = record.status.is_live();
        self.view_changed |= match old {
            Some(old) => !is_live || !looks_alike(&old.profile, &record.profile),
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

    fn pass_on(&mut self, update: Update, source: Source, step: &mut Step<'_>) {
        self.pass_on_as_sent(update, 0, source, step);
    }

    fn pass_on_as_sent(&mut self, update: Update, sent: u32, source: Source, step: &mut Step<'_>) {
        if source == Source::Gossip {
            self.news.push_as_sent(update, sent);
            self.schedule_gossip(step);
        }
    }

    fn refute_if_current(&mut self, claimed: Version, step: &mut Step<'_>) {
        if claimed >= self.me.version && !self.has_departed {
            self.health.worsen();
            self.refute(claimed, step);
        }
    }

    /// Speaks up in a version above the one that others claim things about.
    fn refute(&mut self, claimed: Version, step: &mut Step<'_>) {
        let version = claimed.max(self.me.version).next();
        let leaving = self.me.leaving;
        self.speak(version, leaving, step);
    }

    /// Announces a planned stop; it cannot be taken back in this life.
    pub(super) fn announce_leave(&mut self, step: &mut Step<'_>) {
        if !self.me.leaving {
            let version = self.me.version.next();
            self.speak(version, true, step);
            self.view_changed = true;
            self.gossip_now(step);
        }
    }

    fn speak(&mut self, version: Version, leaving: bool, step: &mut Step<'_>) {
        self.me = Arc::new(Profile {
            version,
            leaving,
            ..(*self.me).clone()
        });
        self.table.put(alive_record(&self.me, step.now));
        let update = Update::Alive(Arc::clone(&self.me));
        self.pass_on(update, Source::Gossip, step);
    }

    /// Tells others that the process exits.
    pub(super) fn depart(&mut self, step: &mut Step<'_>) {
        if self.has_departed {
            return;
        }
        self.has_departed = true;
        self.next_probe = Time::NEVER;
        self.next_failed_probe = Time::NEVER;
        self.outstanding.clear();
        let update = Update::Left {
            node: self.me.node,
            version: self.me.version,
        };
        self.pass_on(update, Source::Gossip, step);
        self.gossip_now(step);
    }
}

/// Whether the users of the view need not tell two profiles of a member apart.
fn looks_alike(old: &Profile, new: &Profile) -> bool {
    old.version.incarnation == new.version.incarnation
        && old.address == new.address
        && old.leaving == new.leaving
        && old.region == new.region
        && old.zone == new.zone
}

fn report(node: NodeId, change: MemberChange, step: &mut Step<'_>) {
    step.effects.push(Effect::MemberChanged { node, change });
}
