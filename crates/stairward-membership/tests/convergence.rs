//! Membership views converge after short sequences of faults. Members with a disabled protocol rule
//! are detected.

mod common;

use bolero::TypeGenerator;
use common::network::{DisabledRule, Network};
use stairward_testing::check;
use stairward_types::Duration;

const MEMBERS: u64 = 5;
/// Failed members are pinged every few seconds, and a suspicion lasts up to two seconds.
const SETTLING_SECONDS: usize = 40;
const SECOND: Duration = Duration::from_secs(1);

/// A fault or its repair. In a test case, each step comes with the time until the next one.
#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Kill(u8),
    Restart(u8),
    Side(u8, bool),
    Loss(u8),
    Heal,
}

fn node(number: u8) -> u64 {
    u64::from(number) % MEMBERS + 1
}

fn apply_step(network: &mut Network, step: &Step) {
    match *step {
        Step::Kill(number) => network.kill(node(number)),
        Step::Restart(number) => {
            network.kill(node(number));
            network.start_member(node(number));
        }
        Step::Side(number, side) => network.set_side(node(number), u8::from(side)),
        Step::Loss(percent) => network.loss = percent % 60,
        Step::Heal => network.heal(),
    }
}

/// Whether views agree after the steps and a period without faults.
fn converges(steps: &[(Step, u8)], seed: u64, disabled: DisabledRule) -> bool {
    let mut network = Network::start(MEMBERS, seed, disabled);
    network.run(Duration::from_secs(3));
    for (step, tenths) in steps.iter().take(8) {
        apply_step(&mut network, step);
        network.run(Duration::from_millis(100) * u32::from(*tenths % 25));
    }
    network.heal();
    settles(&mut network)
}

/// Whether views agree within the time limit and remain so for a few seconds.
fn settles(network: &mut Network) -> bool {
    for _ in 0..SETTLING_SECONDS {
        network.run(SECOND);
        if network.has_converged() {
            break;
        }
    }
    network.run(3 * SECOND);
    network.has_converged()
}

#[test]
fn views_agree_after_any_faults() {
    check!()
        .with_type::<(Vec<(Step, u8)>, u64)>()
        .for_each(|(steps, seed)| {
            assert!(converges(steps, *seed, DisabledRule::Nothing));
        });
}

/// A partition during which each side marks the other as failed.
fn partition() -> Vec<(Step, u8)> {
    vec![
        (Step::Side(3, true), 0),
        (Step::Side(4, true), 24),
        (Step::Loss(0), 24),
    ]
}

#[test]
fn views_agree_after_a_partition() {
    assert!((0..10).all(|seed| converges(&partition(), seed, DisabledRule::Nothing)));
}

#[test]
fn harness_detects_members_that_never_refute() {
    assert!(!converges(&partition(), 1, DisabledRule::Refutation));
}

/// Restarts whose updates are lost on the way to some members.
fn lossy_restarts() -> Vec<(Step, u8)> {
    vec![
        (Step::Loss(59), 0),
        (Step::Restart(2), 3),
        (Step::Restart(3), 3),
        (Step::Restart(4), 3),
    ]
}

#[test]
fn harness_detects_members_that_never_compare_views() {
    let detected =
        (0..20).any(|seed| !converges(&lossy_restarts(), seed, DisabledRule::Comparison));
    assert!(detected);
    assert!((0..20).all(|seed| converges(&lossy_restarts(), seed, DisabledRule::Nothing)));
}
