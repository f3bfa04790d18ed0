//! Views agree again after any small sequence of faults; members that break a rule are caught.

mod common;

use bolero::TypeGenerator;
use common::network::{Broken, Network};
use stairward_testing::check;
use stairward_types::Duration;

const MEMBERS: u64 = 5;
/// Failed members are probed every few seconds, and a suspicion takes up to two.
const SETTLING_SECONDS: usize = 40;
const SECOND: Duration = Duration::from_secs(1);

/// One thing that befalls the members, and how long it lasts before the next.
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

fn act(network: &mut Network, step: &Step) {
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

/// Whether views agree after the steps, and a quiet time.
fn converges(steps: &[(Step, u8)], seed: u64, broken: Broken) -> bool {
    let mut network = Network::start(MEMBERS, seed, broken);
    network.run(Duration::from_secs(3));
    for (step, tenths) in steps.iter().take(8) {
        act(&mut network, step);
        network.run(Duration::from_millis(100) * u32::from(*tenths % 25));
    }
    network.heal();
    settles(&mut network)
}

/// Whether views come to agree in time, and still do a few seconds later.
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
            assert!(converges(steps, *seed, Broken::Nothing));
        });
}

/// Two sides that took each other as failed.
fn partition() -> Vec<(Step, u8)> {
    vec![
        (Step::Side(3, true), 0),
        (Step::Side(4, true), 24),
        (Step::Loss(0), 24),
    ]
}

#[test]
fn views_agree_after_a_partition() {
    assert!((0..10).all(|seed| converges(&partition(), seed, Broken::Nothing)));
}

#[test]
fn members_that_never_refute_are_caught() {
    assert!(!converges(&partition(), 1, Broken::Refutation));
}

/// News that all members were told of is lost on the way to some.
fn lossy_restarts() -> Vec<(Step, u8)> {
    vec![
        (Step::Loss(59), 0),
        (Step::Restart(2), 3),
        (Step::Restart(3), 3),
        (Step::Restart(4), 3),
    ]
}

#[test]
fn members_that_never_compare_views_are_caught() {
    let caught = (0..20).any(|seed| !converges(&lossy_restarts(), seed, Broken::Comparison));
    assert!(caught);
    assert!((0..20).all(|seed| converges(&lossy_restarts(), seed, Broken::Nothing)));
}
