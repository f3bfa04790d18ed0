//! Properties that hold for a group under any faults.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bolero::TypeGenerator;
use stairward_standins::group::Fault;
use stairward_standins::{Observation, StatementOutcome, TransactionNumber};
use stairward_types::{BackendId, Freshness};
use support::bench::{Bench, Client};
use support::{group_config, member_names};

/// Steps of one run.
const STEPS: usize = 16;

/// How often commits are tried to be proved.
const PROOF_INTERVAL_MILLIS: u64 = 5;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Write { client: u8 },
    Pass { milliseconds: u8 },
    PassLong,
    WriteAgain { client: u8 },
    CutOff { member: u8 },
    Stop { member: u8 },
    Pause { member: u8 },
    Lag { member: u8, milliseconds: u8 },
    Heal { member: u8 },
    SwitchOver { member: u8 },
}

/// The entry that a write of this test inserts.
fn entry_of(sql: &str) -> Option<String> {
    let values = sql.strip_prefix("INSERT INTO entry VALUES (")?;
    values.strip_suffix(')').map(str::to_owned)
}

struct Run {
    bench: Bench,
    members: Vec<BackendId>,
    clients: Vec<Client>,
    /// Entries whose commit a majority held at some moment, proved as stairward proves them: a majority
    /// knows no later term and holds the position, each asked after the commit.
    proved: Vec<String>,
    writes: u32,
}

impl Run {
    fn new(seed: u64) -> Self {
        let members = member_names(3);
        let mut bench = Bench::new(&group_config(&members), seed);
        let client = bench.open(&members[0]);
        bench.done(&client, "CREATE TABLE entry (id int PRIMARY KEY)");
        bench.advance_millis(20);
        Self {
            bench,
            members,
            clients: Vec::new(),
            proved: Vec::new(),
            writes: 0,
        }
    }

    fn member(&self, choice: u8) -> BackendId {
        self.members[usize::from(choice) % self.members.len()].clone()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Write { client } | Step::WriteAgain { client } => self.write(client),
            Step::Pass { milliseconds } => self.pass(u64::from(milliseconds)),
            Step::PassLong => self.pass(1_000),
            Step::CutOff { member } => {
                let member = self.member(member);
                self.bench.fault(Fault::CutOff { member });
            }
            Step::Stop { member } => {
                let member = self.member(member);
                self.bench.fault(Fault::Stop { member });
            }
            Step::Pause { member } => {
                let member = self.member(member);
                self.bench.fault(Fault::Pause { member });
            }
            Step::Lag {
                member,
                milliseconds,
            } => {
                let member = self.member(member);
                let lag = Duration::from_millis(u64::from(milliseconds));
                self.bench.fault(Fault::Lag { member, lag });
            }
            Step::Heal { member } => {
                let member = self.member(member);
                self.bench.fault(Fault::Heal { member });
            }
            Step::SwitchOver { member } => {
                let member = self.member(member);
                self.bench.switch_over(&member);
            }
        }
        self.prove_commits();
    }

    fn pass(&mut self, milliseconds: u64) {
        let mut rest = milliseconds;
        while rest > 0 {
            let step = rest.min(PROOF_INTERVAL_MILLIS);
            self.bench.advance_millis(step);
            self.prove_commits();
            rest -= step;
        }
    }

    /// Sends a write, half of the time to the primary of the newest term and else to any member,
    /// which may refuse it or be a primary cut off.
    fn write(&mut self, choice: u8) {
        let any = self.member(choice / 2);
        let primary = self
            .bench
            .group
            .primary()
            .filter(|_| choice.is_multiple_of(2));
        let member = primary.cloned().unwrap_or(any);
        let client = self.bench.start_open(&member);
        self.pass(12);
        self.writes += 1;
        let sql = format!("INSERT INTO entry VALUES ({})", self.writes);
        self.bench.start(&client, &sql);
        self.clients.push(client);
        self.pass(1);
    }

    /// Committed writes: the entry's number with the commit's term and position.
    fn commits(&self) -> Vec<(String, Freshness)> {
        let mut written: BTreeMap<(BackendId, TransactionNumber), String> = BTreeMap::new();
        let mut commits = Vec::new();
        for truth in &self.bench.truths {
            match &truth.observation {
                Observation::StatementRan {
                    transaction: Some(transaction),
                    sql,
                    outcome: StatementOutcome::Succeeded { .. },
                    ..
                } => {
                    if let Some(entry) = entry_of(sql) {
                        written.insert((truth.backend.clone(), *transaction), entry);
                    }
                }
                Observation::TransactionCommitted {
                    transaction,
                    freshness,
                    ..
                } => {
                    let key = (truth.backend.clone(), *transaction);
                    commits.extend(written.remove(&key).map(|entry| (entry, *freshness)));
                }
                _ => {}
            }
        }
        commits
    }

    fn prove_commits(&mut self) {
        for (entry, commit) in self.commits() {
            if !self.proved.contains(&entry) && self.is_proved(commit) {
                self.proved.push(entry);
            }
        }
    }

    fn is_proved(&self, commit: Freshness) -> bool {
        let holders = self.members.iter().filter(|member| {
            let reported = self.bench.group.freshness(member).unwrap();
            reported.term == commit.term && reported.position >= commit.position
        });
        holders.count() >= 2
    }

    /// Ends all faults and lets the group settle.
    fn settle(&mut self) {
        for member in self.members.clone() {
            self.bench.fault(Fault::Heal { member });
        }
        self.bench.advance(Duration::from_secs(10));
    }

    /// After the faults all members hold the same log, and every proved commit.
    fn check_agreement(&self) {
        let end = self.bench.group.log_end(&self.members[0]);
        let rows = self.bench.applied_rows(&self.members[0], "entry");
        for member in &self.members {
            assert_eq!(self.bench.group.log_end(member), end);
            let entries = self.bench.applied_rows(member, "entry");
            assert_eq!(entries, rows, "{member} differs");
            for entry in &self.proved {
                assert!(entries.contains(entry), "{member} lost {entry}");
            }
        }
    }

    /// No term has had two primaries.
    fn check_terms(&self) {
        let mut terms = BTreeSet::new();
        for truth in &self.bench.truths {
            if let Observation::ElectionWon { term, .. } = truth.observation {
                assert!(terms.insert(term), "two primaries in term {term}");
            }
        }
    }

    fn count_lost(&self) -> usize {
        let survivors = self.bench.applied_rows(&self.members[0], "entry");
        let commits = self.commits();
        let lost = commits
            .iter()
            .filter(|(entry, _)| !survivors.contains(entry));
        lost.count()
    }
}

#[test]
fn under_any_faults_proved_commits_survive() {
    let proved = AtomicUsize::new(0);
    let lost = AtomicUsize::new(0);
    stairward_testing::check!()
        .with_type::<(u64, [Step; STEPS])>()
        .for_each(|(seed, steps)| {
            let mut run = Run::new(*seed);
            for step in steps {
                run.step(*step);
            }
            run.settle();
            run.check_agreement();
            run.check_terms();
            proved.fetch_add(run.proved.len(), Ordering::Relaxed);
            lost.fetch_add(run.count_lost(), Ordering::Relaxed);
        });
    let (proved, lost) = (proved.into_inner(), lost.into_inner());
    println!("{proved} commits proved, {lost} unproved commits lost");
    assert!(
        proved > 0 && lost > 0,
        "the runs were too tame to show anything"
    );
}
