//! Model check of every interleaving of commits, votes, replication, questions and answers in a group of three members
//! with two terms. The fence must never prove a commit of a replaced primary or, at full strength, one that is lost.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_pool::AcknowledgementFence;
use stairward_pool::fence::{
    CommitId, FenceEffect, FenceEvent, FenceSettings, InjectedFenceFault, MemberAnswer, QuestionId,
};
use stairward_types::{BackendId, FenceStrength, Freshness, LogPosition, Term, Time};
use support::explorer::{Model, explore};

const MEMBERS: usize = 3;
const PRIMARY: usize = 0;
/// The member that may be elected. The third member is symmetric to it, so one candidate suffices.
const CANDIDATE: usize = 1;
const MAJORITY: usize = 2;
const NOW: Time = Time(1);

/// Bounds of a model.
#[derive(Debug, Clone, Copy)]
struct Size {
    commits: u64,
    /// Answered questions per member.
    questions: usize,
}

/// Two commits that share questions, and one commit that needs several questions.
const SIZES: [Size; 2] = [
    Size {
        commits: 2,
        questions: 1,
    },
    Size {
        commits: 1,
        questions: 3,
    },
];
/// Both combined, for faults that need it to show.
const LARGE: Size = Size {
    commits: 2,
    questions: 2,
};

fn name(member: usize) -> BackendId {
    BackendId::new(format!("m{member}")).expect("a valid name")
}

/// One database of the group. Its log is a prefix of the first primary's log.
#[derive(Debug, Clone, Default)]
struct Member {
    term: u64,
    position: u64,
    has_voted: bool,
    leads: bool,
}

#[derive(Debug, Clone)]
struct Group {
    members: [Member; MEMBERS],
    fence: AcknowledgementFence,
    strength: FenceStrength,
    size: Size,
    commits: u64,
    commits_of_replaced: BTreeSet<u64>,
    proved: BTreeSet<u64>,
    asked: BTreeMap<u64, usize>,
    answered: BTreeMap<u64, (usize, MemberAnswer)>,
    questions: [usize; MEMBERS],
    promoted: bool,
}

#[derive(Debug, Clone)]
enum Action {
    Commit,
    Replicate(usize),
    Vote(usize),
    Promote,
    StepDown,
    Ask(u64),
    Answer(u64),
}

impl Group {
    fn new(
        size: Size,
        strength: FenceStrength,
        injected_fault: Option<InjectedFenceFault>,
    ) -> Self {
        let settings = FenceSettings {
            strength,
            members: (0..MEMBERS).map(name).collect(),
            primary: name(PRIMARY),
            retry_interval: Duration::ZERO,
            waiting_limit: 8,
            injected_fault,
        };
        let mut members: [Member; MEMBERS] = Default::default();
        for member in &mut members {
            member.term = 1;
        }
        members[PRIMARY].leads = true;
        Self {
            members,
            fence: AcknowledgementFence::new(settings),
            strength,
            size,
            commits: 0,
            commits_of_replaced: BTreeSet::new(),
            proved: BTreeSet::new(),
            asked: BTreeMap::new(),
            answered: BTreeMap::new(),
            questions: [0; MEMBERS],
            promoted: false,
        }
    }

    fn handle(&mut self, event: FenceEvent) {
        for effect in self.fence.handle(NOW, event) {
            match effect {
                FenceEffect::Ask { question, member } => {
                    let member = (0..MEMBERS).find(|number| name(*number) == member);
                    self.asked.insert(question.0, member.expect("a member"));
                }
                FenceEffect::Proved { commit, .. } => {
                    self.proved.insert(commit.0);
                }
                FenceEffect::NotProved(_) => {}
            }
        }
    }

    fn may_vote(&self, voter: usize, candidate: usize) -> bool {
        let state = &self.members[voter];
        let log_is_no_newer = state.position <= self.members[candidate].position;
        // A candidate votes for itself before others vote for it.
        let candidate_stands = voter == candidate || self.members[candidate].has_voted;
        !state.has_voted && log_is_no_newer && candidate_stands
    }

    fn voters(&self) -> Vec<usize> {
        let voted = |member: &usize| self.members[*member].has_voted;
        (0..MEMBERS).filter(voted).collect()
    }

    fn commit(&mut self) {
        self.commits += 1;
        self.members[PRIMARY].position = self.commits;
        if self.promoted {
            self.commits_of_replaced.insert(self.commits);
        }
        self.handle(FenceEvent::Committed {
            commit: CommitId(self.commits),
            term: Term(1),
            deadline: Time::NEVER,
        });
    }

    fn answer_of(&self, member: usize) -> MemberAnswer {
        let state = &self.members[member];
        MemberAnswer {
            freshness: Freshness::new(Term(state.term), LogPosition(state.position)),
            is_primary: state.leads,
        }
    }
}

impl Model for Group {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        let primary = &self.members[PRIMARY];
        if primary.leads && self.commits < self.size.commits {
            actions.push(Action::Commit);
        }
        if primary.leads && self.promoted {
            actions.push(Action::StepDown);
        }
        for member in 1..MEMBERS {
            let state = &self.members[member];
            if primary.leads && state.term == 1 && state.position < primary.position {
                actions.push(Action::Replicate(member));
            }
            if self.may_vote(member, CANDIDATE) {
                actions.push(Action::Vote(member));
            }
        }
        if !self.promoted && self.voters().len() >= MAJORITY {
            actions.push(Action::Promote);
        }
        for (question, member) in &self.asked {
            if self.questions[*member] < self.size.questions {
                actions.push(Action::Ask(*question));
            }
        }
        actions.extend(
            self.answered
                .keys()
                .map(|question| Action::Answer(*question)),
        );
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Commit => self.commit(),
            Action::Replicate(member) => {
                self.members[member].position = self.members[PRIMARY].position;
            }
            Action::Vote(voter) => {
                self.members[voter].has_voted = true;
                self.members[voter].term = 2;
            }
            Action::Promote => {
                self.members[CANDIDATE].leads = true;
                self.promoted = true;
            }
            Action::StepDown => {
                self.members[PRIMARY].leads = false;
                self.members[PRIMARY].term = 2;
            }
            Action::Ask(question) => {
                let member = self.asked.remove(&question).expect("a question under way");
                self.questions[member] += 1;
                let answer = self.answer_of(member);
                self.answered.insert(question, (member, answer));
            }
            Action::Answer(question) => {
                let (_, answer) = self.answered.remove(&question).expect("an answer");
                let question = QuestionId(question);
                self.handle(FenceEvent::Answered { question, answer });
            }
        }
    }

    fn violation(&self) -> Option<String> {
        let proved_of_replaced = self.proved.intersection(&self.commits_of_replaced).next();
        if let Some(commit) = proved_of_replaced {
            return Some(format!("commit {commit} of a replaced primary was proved"));
        }
        let newest = self.proved.last().copied().unwrap_or_default();
        let lost = self.promoted && self.members[CANDIDATE].position < newest;
        let must_survive = self.strength == FenceStrength::Position;
        (must_survive && lost).then(|| format!("commit {newest} was proved and lost"))
    }
}

#[test]
fn no_interleaving_proves_a_commit_of_a_replaced_primary() {
    for strength in [FenceStrength::Term, FenceStrength::Position] {
        for size in SIZES {
            let exploration = explore(Group::new(size, strength, None));
            println!("{strength:?} {size:?}: {} states", exploration.states);
            assert_eq!(exploration.violation, None);
            assert!(
                exploration.states > 1_000,
                "the model has too few states to be a useful check"
            );
        }
    }
}

#[test]
fn all_commits_can_be_proved() {
    for strength in [FenceStrength::Term, FenceStrength::Position] {
        let mut group = Group::new(LARGE, strength, None);
        for _ in 0..LARGE.commits {
            group.commit();
            group.apply(&Action::Replicate(1));
            while let Some(question) = group.asked.keys().next().copied() {
                group.apply(&Action::Ask(question));
                group.apply(&Action::Answer(question));
                if group.proved.contains(&group.commits) {
                    break;
                }
            }
        }
        assert_eq!(group.proved, BTreeSet::from([1, 2]), "{strength:?}");
    }
}

#[test]
fn every_injected_fault_is_detected() {
    for injected_fault in [
        InjectedFenceFault::ProvesUnasked,
        InjectedFenceFault::CountsMinority,
        InjectedFenceFault::CountsEarlierQuestions,
    ] {
        for strength in [FenceStrength::Term, FenceStrength::Position] {
            let exploration = explore(Group::new(LARGE, strength, Some(injected_fault)));
            assert!(
                exploration.violation.is_some(),
                "{injected_fault:?} {strength:?}"
            );
        }
    }
}

#[test]
fn term_strength_does_not_guarantee_that_a_commit_survives() {
    // Term strength guarantees only that the primary was not replaced.
    let mut group = Group::new(LARGE, FenceStrength::Term, None);
    group.strength = FenceStrength::Position;
    assert!(explore(group).violation.is_some());
}
