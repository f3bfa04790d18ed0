//! The acknowledgement fence: proof that a commit was not made by a replaced primary.
//!
//! After a primary has reported a commit, the members of its group are asked for their term and
//! position. The commit is proved once a majority of the members, the primary among them, each asked
//! after the commit, know no later term and, at full strength, hold the commit's position.
//!
//! Why this is enough: a member that votes for a later term reports that term from then on, and a
//! promotion takes the votes of a majority. Two majorities share a member. If a later primary had
//! been elected before the commit, the shared member would have voted before it was asked and would
//! have reported the later term. With the position as well, each later primary gets the vote of a
//! member that holds the commit, and so holds it too (the argument for Raft's commitment rule,
//! Ongaro and Ousterhout, 2014, section 5.4, made by asking instead of by replicating).
//!
//! At most one question per member is under way. Its answer serves every commit that was waiting
//! when the question was sent, so the number of questions does not grow with the number of commits.

mod commit;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, FenceStrength, Freshness, Term, Time};

use commit::{Verdict, WaitingCommit};

/// One commit, unique within a fence's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommitId(pub u64);

/// One question to one member, unique within a fence's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// A deliberately broken rule, with which checkers show that they can fail. Never set in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFenceFault {
    /// Proves each commit without asking.
    ProvesUnasked,
    /// Takes one member too few for a majority.
    CountsMinority,
    /// Counts answers to questions that were sent before the commit.
    CountsEarlierQuestions,
}

/// How commits of one primary are proved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FenceSettings {
    /// What must be proved.
    pub strength: FenceStrength,
    /// The members of the group; it must be the set that elects primaries.
    pub members: BTreeSet<BackendId>,
    /// The member whose commits are proved.
    pub primary: BackendId,
    /// Pause before a member whose answer was not enough is asked again.
    pub retry_interval: Duration,
    /// Commits that may wait at once; a further one is not proved.
    pub waiting_limit: usize,
    /// A broken rule, for tests only.
    pub injected_fault: Option<InjectedFenceFault>,
}

/// What a member says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberAnswer {
    /// Its term and received position, which elections go by. The term is the highest it has voted
    /// for or follows.
    pub freshness: Freshness,
    /// Whether it believes to be the primary.
    pub is_primary: bool,
}

/// What a fence hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceEvent {
    /// The primary has reported a commit.
    Committed {
        /// Its number; it must be higher than all before.
        commit: CommitId,
        /// The primary's term when last asked before the commit was sent to it.
        term: Term,
        /// When the proof comes too late.
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

/// What a fence wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceEffect {
    /// Ask a member, now. The question must reach the member after this effect was returned.
    Ask {
        /// The question.
        question: QuestionId,
        /// Whom to ask.
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

/// A question under way.
#[derive(Debug, Clone)]
struct Question {
    member: BackendId,
    /// The newest commit that was waiting when it was sent.
    covers: Option<CommitId>,
}

/// Why and until when a member is not asked.
#[derive(Debug, Clone, Copy)]
struct Pause {
    ends: Time,
    /// It did not answer; a further commit does not shorten the pause.
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
    /// A fence with nothing to prove.
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

    /// Hears what happened and says what to do about it.
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
        self.settle(now, &mut effects);
        self.ask(now, &mut effects);
        effects
    }

    /// When [`FenceEvent::Tick`] is due if nothing else happens before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let deadlines = self.waiting.values().map(|commit| commit.deadline);
        let askable = self.members_to_ask();
        let pauses = askable.filter_map(|member| self.pauses.get(member).map(|pause| pause.ends));
        deadlines.chain(pauses).min()
    }

    /// Commits that wait for their proof.
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
        let counts_all =
            self.settings.injected_fault == Some(InjectedFenceFault::CountsEarlierQuestions);
        for (commit, waiting) in &mut self.waiting {
            let was_asked_after = question.covers.is_some_and(|newest| *commit <= newest);
            if was_asked_after || counts_all {
                waiting.hear(&question.member, answer);
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

    fn settle(&mut self, now: Time, effects: &mut Vec<FenceEffect>) {
        let majority = self.majority();
        let settings = &self.settings;
        self.waiting.retain(|commit, waiting| {
            let effect = match waiting.verdict(settings, majority) {
                Verdict::Proved(freshness) => FenceEffect::Proved {
                    commit: *commit,
                    freshness,
                },
                Verdict::Refuted => FenceEffect::NotProved(*commit),
                Verdict::Open if waiting.deadline <= now => FenceEffect::NotProved(*commit),
                Verdict::Open => return true,
            };
            effects.push(effect);
            false
        });
    }

    fn ask(&mut self, now: Time, effects: &mut Vec<FenceEffect>) {
        let covers = self.waiting.last_key_value().map(|(commit, _)| *commit);
        let due: Vec<BackendId> = self
            .members_to_ask()
            .filter(|member| self.may_ask(member, now))
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

    /// A member is asked at once for a commit it was not asked about yet, and after a pause for one
    /// its last answer was not enough for.
    fn may_ask(&self, member: &BackendId, now: Time) -> bool {
        let Some(pause) = self.pauses.get(member) else {
            return true;
        };
        let has_news = || {
            self.waiting
                .values()
                .any(|commit| !commit.has_heard(member))
        };
        pause.ends <= now || (!pause.is_unreachable && has_news())
    }

    /// Members with no question under way whose answer would help a waiting commit.
    fn members_to_ask(&self) -> impl Iterator<Item = &BackendId> {
        self.settings.members.iter().filter(|member| {
            let is_being_asked = self
                .questions
                .values()
                .any(|question| question.member == **member);
            let would_help = self
                .waiting
                .values()
                .any(|commit| commit.needs(member, &self.settings));
            !is_being_asked && would_help
        })
    }
}
