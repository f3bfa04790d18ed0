//! The acknowledgement fence: proof that a commit was not made by a replaced primary.
//!
//! After a primary has reported a commit, the members of its group are queried for their term and
//! position. The commit is proved once a majority of the members, including the primary, each queried
//! after the commit, know no later term and, at [`FenceStrength::Position`], hold the commit's
//! position.
//!
//! Correctness: a member that votes for a later term reports that term from then on, and a promotion
//! requires the votes of a majority. Two majorities share a member. If a later primary had been
//! elected before the commit, the shared member would have voted before it was queried and would have
//! reported the later term. With the position as well, every later primary gets the vote of a member
//! that holds the commit, and so holds it too. This is the argument for Raft's commitment rule
//! (Ongaro and Ousterhout, 2014, section 5.4), with queries in place of replication.
//!
//! At most one question per member is in flight. Its answer applies to every commit that was waiting
//! when the question was sent, so the number of questions does not grow with the number of commits.

mod commit;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, FenceStrength, Freshness, Term, Time};

use commit::{Verdict, WaitingCommit};

/// Identifies a commit within a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitId(pub u64);

/// Identifies a question to a member within a fence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// A deliberate defect, used to show that checkers detect it. Never set in production.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFenceFault {
    /// Proves every commit without querying members.
    ProvesUnasked,
    /// Accepts one member fewer than a majority.
    CountsMinority,
    /// Accepts answers to questions that were sent before the commit.
    CountsEarlierQuestions,
}

/// Settings of a fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceSettings {
    /// What must be proved.
    pub strength: FenceStrength,
    /// The members of the group. Must be the set that elects primaries.
    pub members: BTreeSet<BackendId>,
    /// The member whose commits are proved.
    pub primary: BackendId,
    /// Delay before a member is queried again after an insufficient answer or none.
    pub retry_interval: Duration,
    /// Maximum waiting commits; a further commit is reported as not proved.
    pub waiting_limit: usize,
    /// A deliberate defect, for tests only.
    pub injected_fault: Option<InjectedFenceFault>,
}

/// Answer of a member to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberAnswer {
    /// Its term and received position, which decide elections. The term is the highest that it has
    /// voted for or follows.
    pub freshness: Freshness,
    /// Whether it considers itself the primary.
    pub is_primary: bool,
}

/// Input of a fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceEvent {
    /// The primary has reported a commit.
    Committed {
        /// Its id; must be higher than all earlier ones.
        commit: CommitId,
        /// The primary's term, as last reported before the commit was sent to it.
        term: Term,
        /// Deadline of the proof.
        deadline: Time,
    },
    /// A member has answered.
    Answered {
        /// The question.
        question: QuestionId,
        /// The answer.
        answer: MemberAnswer,
    },
    /// A member did not answer.
    Unanswered(QuestionId),
    /// The settings have changed.
    SettingsChanged(FenceSettings),
    /// Time has passed; see [`AcknowledgementFence::next_wake`].
    Tick,
}

/// Action for the caller of a fence to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceEffect {
    /// Query a member. The question must reach the member after this effect was returned.
    Ask {
        /// The question.
        question: QuestionId,
        /// The member to query.
        member: BackendId,
    },
    /// The commit may be acknowledged.
    Proved {
        /// The commit.
        commit: CommitId,
        /// The primary's term and a position at or past the commit.
        freshness: Freshness,
    },
    /// The commit's outcome is unknown: a later term was seen, or the proof took too long.
    NotProved(CommitId),
}

/// A question in flight.
#[derive(Debug, Clone)]
struct Question {
    member: BackendId,
    /// The newest commit that was waiting when it was sent.
    covers: Option<CommitId>,
}

/// Time during which a member is not queried again.
#[derive(Debug, Clone, Copy)]
struct Pause {
    ends: Time,
    /// The member did not answer; a new commit does not shorten the pause then.
    is_unreachable: bool,
}

/// Proves the commits of one primary.
#[derive(Debug, Clone)]
pub struct AcknowledgementFence {
    settings: FenceSettings,
    waiting: BTreeMap<CommitId, WaitingCommit>,
    questions: BTreeMap<QuestionId, Question>,
    pauses: BTreeMap<BackendId, Pause>,
    next_question: u64,
}

impl AcknowledgementFence {
    /// Creates a fence without waiting commits.
    #[must_use]
    pub fn new(settings: FenceSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            questions: BTreeMap::new(),
            pauses: BTreeMap::new(),
            next_question: 0,
        }
    }

    /// Processes an event and returns the resulting effects, in order.
    pub fn handle(&mut self, now: Time, event: FenceEvent) -> Vec<FenceEffect> {
        let mut effects = Vec::new();
        match event {
            FenceEvent::Committed {
                commit,
                term,
                deadline,
            } => self.committed(commit, term, deadline, &mut effects),
            FenceEvent::Answered { question, answer } => self.answered(now, question, answer),
            FenceEvent::Unanswered(question) => self.unanswered(now, question),
            FenceEvent::SettingsChanged(settings) => self.settings = settings,
            FenceEvent::Tick => {}
        }
        self.resolve_commits(now, &mut effects);
        self.send_questions(now, &mut effects);
        effects
    }

    /// When the next [`FenceEvent::Tick`] is due, if no other event occurs before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let deadlines = self.waiting.values().map(|commit| commit.deadline);
        let askable = self.members_to_ask();
        let pauses = askable.filter_map(|member| self.pauses.get(member).map(|pause| pause.ends));
        deadlines.chain(pauses).min()
    }

    /// Number of commits that wait for their proof.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn majority(&self) -> usize {
        let majority = self.settings.members.len() / 2 + 1;
        if self.settings.injected_fault == Some(InjectedFenceFault::CountsMinority) {
            majority - 1
        } else {
            majority
        }
    }

    fn committed(
        &mut self,
        commit: CommitId,
        term: Term,
        deadline: Time,
        effects: &mut Vec<FenceEffect>,
    ) {
        if self.settings.injected_fault == Some(InjectedFenceFault::ProvesUnasked) {
            let freshness = Freshness::new(term, stairward_types::LogPosition::default());
            effects.push(FenceEffect::Proved { commit, freshness });
        } else if self.waiting.len() >= self.settings.waiting_limit {
            effects.push(FenceEffect::NotProved(commit));
        } else {
            let waiting = WaitingCommit::new(term, deadline);
            self.waiting.insert(commit, waiting);
        }
    }

    fn answered(&mut self, now: Time, question: QuestionId, answer: MemberAnswer) {
        let Some(question) = self.end_question(now, question, false) else {
            return;
        };
        let accepts_all =
            self.settings.injected_fault == Some(InjectedFenceFault::CountsEarlierQuestions);
        for (commit, waiting) in &mut self.waiting {
            let was_queried_after = question.covers.is_some_and(|newest| *commit <= newest);
            if was_queried_after || accepts_all {
                waiting.record_answer(&question.member, answer);
            }
        }
    }

    fn unanswered(&mut self, now: Time, question: QuestionId) {
        self.end_question(now, question, true);
    }

    fn end_question(
        &mut self,
        now: Time,
        question: QuestionId,
        is_unreachable: bool,
    ) -> Option<Question> {
        let question = self.questions.remove(&question)?;
        let pause = Pause {
            ends: now + self.settings.retry_interval,
            is_unreachable,
        };
        self.pauses.insert(question.member.clone(), pause);
        Some(question)
    }

    fn resolve_commits(&mut self, now: Time, effects: &mut Vec<FenceEffect>) {
        let majority = self.majority();
        let settings = &self.settings;
        self.waiting.retain(|commit, waiting| {
            let effect = match waiting.verdict(settings, majority) {
                Verdict::Proved(freshness) => FenceEffect::Proved {
                    commit: *commit,
                    freshness,
                },
                Verdict::Refuted => FenceEffect::NotProved(*commit),
                Verdict::Pending if waiting.deadline <= now => FenceEffect::NotProved(*commit),
                Verdict::Pending => return true,
            };
            effects.push(effect);
            false
        });
    }

    fn send_questions(&mut self, now: Time, effects: &mut Vec<FenceEffect>) {
        let covers = self.waiting.last_key_value().map(|(commit, _)| *commit);
        let due: Vec<BackendId> = self
            .members_to_ask()
            .filter(|member| self.may_query(member, now))
            .cloned()
            .collect();
        for member in due {
            let question = QuestionId(self.next_question);
            self.next_question += 1;
            let asked = Question {
                member: member.clone(),
                covers,
            };
            self.questions.insert(question, asked);
            effects.push(FenceEffect::Ask { question, member });
        }
    }

    /// A member is queried at once for a commit that it has not answered for yet, and after the retry
    /// interval for one that its last answer did not support.
    fn may_query(&self, member: &BackendId, now: Time) -> bool {
        let Some(pause) = self.pauses.get(member) else {
            return true;
        };
        let has_new_commit = || {
            self.waiting
                .values()
                .any(|commit| !commit.has_answer_from(member))
        };
        pause.ends <= now || (!pause.is_unreachable && has_new_commit())
    }

    /// Members without a question in flight whose answer could support a waiting commit.
    fn members_to_ask(&self) -> impl Iterator<Item = &BackendId> {
        self.settings.members.iter().filter(|member| {
            let has_question_in_flight = self
                .questions
                .values()
                .any(|question| question.member == **member);
            let would_help = self
                .waiting
                .values()
                .any(|commit| commit.needs(member, &self.settings));
            !has_question_in_flight && would_help
        })
    }
}
