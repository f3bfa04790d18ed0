//! The simulated membership: repeatable, and sound under small faults.

use stairward_lab::membership::{Fault, FleetOptions, MembershipReport, simulate};
use stairward_membership::SwimConfig;

fn run(fault: &str, seed: u64) -> MembershipReport {
    let options = FleetOptions {
        nodes: 28,
        seed,
        config: SwimConfig::default(),
    };
    simulate(&options, fault.parse::<Fault>().unwrap())
}

#[test]
fn the_same_seed_gives_the_same_report_and_another_a_different_one() {
    let report = run("node-loss", 3);
    assert_eq!(report, run("node-loss", 3));
    assert_ne!(report, run("node-loss", 4));
}

#[test]
fn lost_nodes_are_noticed_by_all_and_nobody_else_is_blamed() {
    for fault in ["node-loss", "zone-loss", "packet-loss=1%"] {
        let report = run(fault, 1);
        assert!(report.losses > 0 && report.unnoticed_losses == 0, "{fault}");
        assert_eq!(report.false_positives, 0, "{fault}");
        assert!(report.converged, "{fault}");
        assert!(report.detect_s.unwrap().max < 3.0, "{fault}");
    }
}

#[test]
fn views_agree_after_a_partition_a_mass_restart_and_pauses() {
    for fault in ["region-partition=10", "mass-restart", "pause"] {
        let report = run(fault, 1);
        assert!(report.converged, "{fault}");
        assert_eq!(report.false_positives, 0, "{fault}");
    }
}

#[test]
fn faults_are_read_from_text() {
    assert_eq!(
        "packet-loss=1%".parse::<Fault>().unwrap(),
        Fault::PacketLoss(0.01)
    );
    for text in [
        "",
        "packet-loss",
        "packet-loss=1",
        "packet-loss=100%",
        "node-loss=2",
    ] {
        assert!(text.parse::<Fault>().is_err(), "{text}");
    }
}
