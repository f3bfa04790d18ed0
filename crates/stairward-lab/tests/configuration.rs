//! The simulation of spreading settings: repeatable, and able to find a node that goes back.

use stairward_lab::configuration::{Fault, NodeVariant, RunOptions, simulate};
use stairward_types::Duration;

const CORRECT: RunOptions = RunOptions {
    nodes: 30,
    edits: 8,
    seed: 7,
    fault: Fault::None,
    groups_per_service: 2,
    variant: NodeVariant::Correct,
};

#[test]
fn one_seed_gives_one_run() {
    let first = simulate(&CORRECT);
    assert_eq!(first, simulate(&CORRECT));
    let other = RunOptions { seed: 8, ..CORRECT };
    assert_ne!(first, simulate(&other));
}

#[test]
fn every_edit_reaches_every_live_node_and_none_goes_back() {
    let faults = [
        Fault::None,
        Fault::StoreDown(Duration::from_secs(20)),
        Fault::RegionPartition(Duration::from_secs(20)),
        Fault::LostReplies,
        Fault::NodeFailures(3),
    ];
    for fault in faults {
        let report = simulate(&RunOptions { fault, ..CORRECT });
        assert!(report.edits_accepted >= CORRECT.edits, "{fault:?}");
        assert_eq!(report.unreached, 0, "{fault:?}");
        assert_eq!(report.reverted, 0, "{fault:?}");
        assert!(report.revision_checks > 0, "{fault:?}");
        assert!(report.old_settings_trusted_s < 3.0, "{fault:?}: {report:?}");
    }
}

#[test]
fn a_node_that_applies_any_revision_is_caught() {
    let broken = RunOptions {
        variant: NodeVariant::AppliesAnyRevision,
        edits: 20,
        ..CORRECT
    };
    assert!(simulate(&broken).reverted > 0);
}

#[test]
fn faults_are_read_from_the_command_line() {
    let partition = "region-partition=5".parse();
    assert_eq!(
        partition,
        Ok(Fault::RegionPartition(Duration::from_secs(5)))
    );
    assert_eq!("node-failures".parse(), Ok(Fault::NodeFailures(26)));
    assert!("rain".parse::<Fault>().is_err());
    assert!("store-down=soon".parse::<Fault>().is_err());
}
