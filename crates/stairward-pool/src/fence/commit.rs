//! A commit that waits for its proof.

use std::collections::BTreeMap;

use stairward_types::{BackendId, FenceStrength, Freshness, LogPosition, Term, Time};

use super::{FenceSettings, MemberAnswer};

/// Result of evaluating the answers for a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// A majority proves it; carries the primary's freshness at or after the commit.
    Proved(Freshness),
    /// It may be lost: a later term exists, or the primary has stepped down.
    Refuted,
    /// More answers are needed.
    Pending,
}

/// A commit and the latest answer of each member that was queried after it.
#[derive(Debug, Clone)]
pub(super) struct WaitingCommit {
    term: Term,
    /// Deadline of the proof.
    pub(super) deadline: Time,
    answers: BTreeMap<BackendId, MemberAnswer>,
    /// The primary's position in its first answer after the commit: at or past the commit.
    position: Option<LogPosition>,
}

impl WaitingCommit {
    pub(super) fn new(term: Term, deadline: Time) -> Self {
        Self {
            term,
            deadline,
            answers: BTreeMap::new(),
            position: None,
        }
    }

    /// Records the answer of a member.
    pub(super) fn record_answer(&mut self, member: &BackendId, answer: MemberAnswer) {
        self.answers.insert(member.clone(), answer);
    }

    /// Evaluates the answers so far.
    pub(super) fn verdict(&mut self, settings: &FenceSettings, majority: usize) -> Verdict {
        if self.is_refuted(settings) {
            return Verdict::Refuted;
        }
        let Some(primary) = self.answers.get(&settings.primary) else {
            return Verdict::Pending;
        };
        let position = *self.position.get_or_insert(primary.freshness.position);
        let members = settings.members.iter();
        let supporters = members.filter(|member| self.is_supported_by(member, settings.strength));
        if supporters.count() >= majority {
            Verdict::Proved(Freshness::new(self.term, position))
        } else {
            Verdict::Pending
        }
    }

    /// Whether the member's answer, if any, does not support this commit yet.
    pub(super) fn needs(&self, member: &BackendId, settings: &FenceSettings) -> bool {
        !self.is_supported_by(member, settings.strength)
    }

    /// Whether the member has answered a question sent after this commit.
    pub(super) fn has_answer_from(&self, member: &BackendId) -> bool {
        self.answers.contains_key(member)
    }

    fn is_refuted(&self, settings: &FenceSettings) -> bool {
        let knows_later_term = |answer: &MemberAnswer| answer.freshness.term > self.term;
        let primary = self.answers.get(&settings.primary);
        let has_stepped_down = primary.is_some_and(|answer| !answer.is_primary);
        has_stepped_down || self.answers.values().any(knows_later_term)
    }

    fn is_supported_by(&self, member: &BackendId, strength: FenceStrength) -> bool {
        let Some(answer) = self.answers.get(member) else {
            return false;
        };
        match strength {
            FenceStrength::Term => answer.freshness.term <= self.term,
            FenceStrength::Position => {
                let holds = |position| answer.freshness.position >= position;
                answer.freshness.term == self.term && self.position.is_some_and(holds)
            }
        }
    }
}
