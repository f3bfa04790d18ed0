//! The simulation of ownership keeps limits, serves again after losses, and can fail.

use stairward_lab::ownership::{
    Fault, OwnershipOptions, OwnershipReport, OwnershipWeakness, simulate,
};

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::NodeLoss,
    Fault::ZoneLoss,
    Fault::Pause,
    Fault::Partition,
];

fn run(fault: Fault, seed: u64, weakness: Option<OwnershipWeakness>) -> OwnershipReport {
    simulate(&OwnershipOptions {
        nodes: 28,
        backends: 21,
        seed,
        fault,
        weakness,
    })
}

#[test]
fn no_fault_makes_a_back_end_pass_its_limit() {
    for fault in FAULTS {
        for seed in 1..=3 {
            let report = run(fault, seed, None);
            assert_eq!(report.limit_exceeded, 0, "{fault:?} {seed}");
            assert_eq!(report.unowned_at_end, 0, "{fault:?} {seed}");
            let owner_share = report.connection_limit * 3 / 4;
            assert!(report.most_connections > owner_share, "{fault:?} {seed}");
        }
    }
}

#[test]
fn back_ends_of_lost_nodes_are_owned_again_within_three_seconds() {
    for fault in [Fault::NodeLoss, Fault::ZoneLoss] {
        for seed in 1..=3 {
            let report = run(fault, seed, None);
            assert!(report.unowned_s.count > 0, "{fault:?} {seed}");
            assert!(report.unowned_s.max < 3.0, "{fault:?} {seed} {report:?}");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_report() {
    assert_eq!(run(Fault::Pause, 7, None), run(Fault::Pause, 7, None));
    assert_ne!(run(Fault::Pause, 7, None), run(Fault::Pause, 8, None));
}

#[test]
fn a_successor_that_leaves_old_sessions_alone_is_found() {
    let weakness = Some(OwnershipWeakness::KeepsLeftovers);
    let report = run(Fault::NodeLoss, 1, weakness);
    assert!(report.limit_exceeded > 0);
}
