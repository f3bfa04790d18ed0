//! Evidence that the other members of a synchronous service have every acknowledged commit that
//! depended on a missing one.
//!
//! 1. Every missing member is probed, directly and through peers. One that answers still receives
//!    the log, and its acknowledgements count. One at whose address nothing listens, as seen from
//!    every node asked, has ended; so has one that none of them reaches for a while.
//! 2. After that, the leader reports its position. Whatever the ended members have acknowledged
//!    lies below it.
//! 3. Once all members that stay have received everything up to that position, and none of them
//!    knows a later term than the leader's, no commit depends on the ended ones.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{BackendId, BackendRole, Freshness, MemberStatus, Term, Time};

use crate::event::{MemberCallResult, RecordVersion, Via};

/// What the probes of a missing member have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// It is running.
    Running,
    /// On every path, nothing listens at its address.
    Ended,
    /// No path has led to it, and on at least one there was no answer.
    Silent,
}

/// The probes of a missing member.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Probe {
    /// Paths on which an answer is pending.
    pending: BTreeSet<Via>,
    /// Whether there was no answer on a path. A refusal on every path is certain at once.
    has_silent_path: bool,
    finding: Option<Finding>,
}

/// The stage of a review.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReviewStage {
    /// The missing members are being probed.
    Probing,
    /// The leader is being asked for its position.
    AskingLeader,
    /// The members that stay are receiving everything up to the leader's position.
    AwaitingCoverage(LeaderPosition),
    /// The record without the ended members is being written.
    Writing,
}

/// What the leader has reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaderPosition {
    /// The term that it leads.
    pub term: Term,
    /// How much of the log it has.
    pub received: Freshness,
}

/// One review of the missing members of a service.
#[derive(Debug)]
pub(crate) struct MemberReview {
    /// Distinguishes its calls from those of other reviews.
    pub number: u64,
    pub stage: ReviewStage,
    /// When the current stage was entered.
    pub stage_since: Time,
    /// The version of the record that the review began with.
    pub version: RecordVersion,
    pub leader: BackendId,
    probes: BTreeMap<BackendId, Probe>,
    /// Members that must still report that they have received the leader's log.
    awaited: BTreeSet<BackendId>,
}

/// What the result of a call has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReviewProgress {
    /// Answers are pending.
    Pending,
    /// This member was not reached directly; peers should probe it.
    PeersNeeded,
    /// All probes have ended.
    Probed,
    /// The leader has reported this position.
    LeaderAt(LeaderPosition),
    /// All members that stay have received the leader's position.
    Covered,
    /// The review can't be completed now.
    Failed,
}

impl MemberReview {
    /// A review that probes these members directly.
    pub fn new(
        number: u64,
        now: Time,
        version: RecordVersion,
        leader: BackendId,
        missing: impl IntoIterator<Item = BackendId>,
    ) -> Self {
        let direct = || Probe {
            pending: BTreeSet::from([Via::Direct]),
            has_silent_path: false,
            finding: None,
        };
        Self {
            number,
            stage: ReviewStage::Probing,
            stage_since: now,
            version,
            leader,
            probes: missing.into_iter().map(|id| (id, direct())).collect(),
            awaited: BTreeSet::new(),
        }
    }

    pub fn enter_stage(&mut self, stage: ReviewStage, now: Time) {
        self.stage = stage;
        self.stage_since = now;
    }

    /// Records that peers probe a member as well.
    pub fn await_peers(&mut self, member: &BackendId, peers: &[Via]) {
        if let Some(probe) = self.probes.get_mut(member) {
            probe.finding = None;
            probe.pending = peers.iter().cloned().collect();
        }
    }

    /// Records that these members must receive the leader's log.
    pub fn await_coverage(&mut self, members: BTreeSet<BackendId>) {
        self.awaited = members;
    }

    /// Records the result of a call and returns what it shows.
    pub fn record(
        &mut self,
        member: &BackendId,
        via: &Via,
        result: MemberCallResult,
    ) -> ReviewProgress {
        match &self.stage {
            ReviewStage::Probing => self.record_probe(member, via, result),
            ReviewStage::AskingLeader if *member == self.leader => {
                let leads = |status: &MemberStatus| status.role == BackendRole::Primary;
                match result.answer().filter(leads) {
                    Some(status) => ReviewProgress::LeaderAt(LeaderPosition {
                        term: status.term,
                        received: status.received,
                    }),
                    None => ReviewProgress::Failed,
                }
            }
            ReviewStage::AwaitingCoverage(position) => {
                let is_covered = |status: MemberStatus| {
                    // A member of a later term has heard of another leader.
                    status.received.covers(position.received) && status.term <= position.term
                };
                if !result.answer().is_some_and(is_covered) {
                    return ReviewProgress::Failed;
                }
                self.awaited.remove(member);
                if self.awaited.is_empty() {
                    ReviewProgress::Covered
                } else {
                    ReviewProgress::Pending
                }
            }
            ReviewStage::AskingLeader | ReviewStage::Writing => ReviewProgress::Pending,
        }
    }

    fn record_probe(
        &mut self,
        member: &BackendId,
        via: &Via,
        result: MemberCallResult,
    ) -> ReviewProgress {
        let Some(probe) = self.probes.get_mut(member) else {
            return ReviewProgress::Pending;
        };
        if !probe.pending.remove(via) {
            return ReviewProgress::Pending;
        }
        match result {
            MemberCallResult::Answered(_)
            | MemberCallResult::GaveWay(_)
            | MemberCallResult::Busy => {
                probe.pending.clear();
                probe.finding = Some(Finding::Running);
                return self.probe_progress();
            }
            MemberCallResult::Refused => {}
            MemberCallResult::Silent => probe.has_silent_path = true,
        }
        if *via == Via::Direct {
            return ReviewProgress::PeersNeeded;
        }
        self.conclude_probe(member);
        self.probe_progress()
    }

    /// Concludes a probe without pending paths.
    pub fn conclude_probe(&mut self, member: &BackendId) {
        if let Some(probe) = self.probes.get_mut(member)
            && probe.pending.is_empty()
        {
            probe.finding.get_or_insert(if probe.has_silent_path {
                Finding::Silent
            } else {
                Finding::Ended
            });
        }
    }

    /// [`ReviewProgress::Probed`] once all probes have ended.
    pub fn probe_progress(&self) -> ReviewProgress {
        if self.probes.values().all(|probe| probe.finding.is_some()) {
            ReviewProgress::Probed
        } else {
            ReviewProgress::Pending
        }
    }

    fn found(&self, wanted: Finding) -> BTreeSet<BackendId> {
        let found = self.probes.iter();
        let found = found.filter(|(_, probe)| probe.finding == Some(wanted));
        found.map(|(id, _)| id.clone()).collect()
    }

    /// The members that no path has led to.
    pub fn silent(&self) -> BTreeSet<BackendId> {
        self.found(Finding::Silent)
    }

    /// The members that are running although discovery does not list them.
    pub fn running(&self) -> BTreeSet<BackendId> {
        self.found(Finding::Running)
    }

    /// The members that have ended.
    pub fn ended(&self) -> BTreeSet<BackendId> {
        self.found(Finding::Ended)
    }

    /// Treats a silent member as ended.
    pub fn confirm_silence(&mut self, member: &BackendId) {
        if let Some(probe) = self.probes.get_mut(member) {
            probe.finding = Some(Finding::Ended);
        }
    }
}
