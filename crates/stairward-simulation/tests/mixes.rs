//! Mixes of faults that follow each other closely. The seeds that once violated an invariant are kept; the pages
//! in docs/incidents/ have their causes.

mod support;

use stairward_simulation::Mix;
use support::assert_holds;

#[test]
fn every_mix_has_its_own_name() {
    for mix in Mix::ALL {
        assert_eq!(Mix::named(mix.name()), Some(mix));
    }
    assert_eq!(Mix::named("none"), None);
}

#[test]
fn invariants_hold_in_each_mix() {
    for mix in Mix::ALL {
        for seed in 1..=2 {
            assert_holds(&mix.options(seed));
        }
    }
}

/// Guards against two leaders: the holder of the failover lease is killed or gives way while promotions are
/// unanswered, and the record that names them is lost in a restore.
#[test]
fn unanswered_promotions_are_known_to_nodes_that_start_after_their_record_is_lost() {
    assert_holds(&Mix::Restores.options(880_304));
    assert_holds(&Mix::LatePromotions.options(700_026));
}

/// Guards against reads at a primary that started without its log and that the node has not known before.
#[test]
fn a_primary_without_its_log_is_not_read_where_old_primaries_end() {
    for seed in [
        710_012, 710_071, 710_146, 710_181, 710_196, 710_199, 710_221, 710_251, 710_275,
    ] {
        assert_holds(&Mix::EndingLostLogs.options(seed));
    }
}

/// Guards against a change of primary each second for ever, long after the last fault.
#[test]
fn a_primary_is_not_changed_again_and_again_once_nothing_fails() {
    for seed in [
        710_002, 710_007, 710_010, 710_012, 710_014, 710_022, 710_025, 710_028, 710_029,
    ] {
        let report = assert_holds(&Mix::SynchronousQuiet.options(seed));
        assert!(report.promotions < 20, "seed {seed}: {report:?}");
    }
    assert_holds(&Mix::Close.options(710_039));
}

/// Guards against the loss of an acknowledged commit that only a replica has which discovery no longer lists.
#[test]
fn a_promotion_keeps_what_a_replica_missing_from_discovery_has_confirmed() {
    for seed in [710_051, 710_087, 710_098, 710_136, 710_229] {
        assert_holds(&Mix::SynchronousClose.options(seed));
    }
    for seed in [
        710_009, 710_011, 710_013, 710_017, 710_040, 710_045, 710_063,
    ] {
        assert_holds(&Mix::SynchronousEnding.options(seed));
    }
}

/// Guards against the replacement of a healthy primary because its earlier process refused connections.
#[test]
fn a_restarted_primary_is_not_replaced_for_what_its_earlier_process_did() {
    for seed in [7_000_175, 7_000_273] {
        assert_holds(&Mix::Restores.options(seed));
    }
}

/// Guards against late work in a zone whose evacuation a restore of the store has lost, and against a check that counts
/// an evacuation which the operator has ended and a restore shows again.
#[test]
fn an_evacuated_zone_gets_no_late_work_where_faults_are_close() {
    assert_holds(&Mix::Every.options(6_000_298));
    assert_holds(&Mix::EveryWithSevenNodes.options(6_000_257));
    assert_holds(&Mix::EveryWithSevenNodes.options(6_000_686));
}

/// Guards against the loss of a commit that a replica received after it had restarted, which ends its hold.
#[test]
fn a_repeated_promotion_keeps_what_a_restarted_replica_has_confirmed() {
    assert_holds(&Mix::SynchronousEnding.options(8_000_158));
}

/// Guards against the loss of a commit that is acknowledged while a promotion is unanswered, where leaderships are not
/// confirmed.
#[test]
fn an_unanswered_promotion_loses_no_commit_acknowledged_since() {
    assert_holds(&Mix::SynchronousEnding.options(8_000_626));
}

/// Guards against the loss of a commit that is acknowledged right after the leader's own promotion was answered: that of
/// another member may have been accepted just before.
#[test]
fn a_promotion_accepted_before_an_answered_one_loses_no_commit_acknowledged_since() {
    assert_holds(&Mix::SynchronousEnding.options(9_500_009));
}
