//! No window of any fleet admits more than the limit allows, whatever happens to its nodes. Each
//! guarantee of the design is also broken once on purpose, to show that the checker detects it.

mod support;

use stairward_limits::LimitWindow;
use stairward_types::Duration;
use support::{Fleet, InjectedBug, Scenario};

/// Seeds of each test.
const SEEDS: std::ops::Range<u64> = 0..40;

fn assert_bounded(options: Scenario) -> Fleet {
    let seed = options.seed;
    let fleet = Fleet::run(options);
    assert_eq!(fleet.excess(), None, "seed {seed}");
    fleet
}

fn with_faults(seed: u64, rate: u64, burst: u64) -> Scenario {
    Scenario {
        faults: true,
        ..Scenario::new(seed, rate, burst)
    }
}

#[test]
fn the_limit_holds_under_faults() {
    for seed in SEEDS {
        assert_bounded(with_faults(seed, 100, 100));
    }
}

#[test]
fn the_limit_holds_without_lending() {
    for seed in SEEDS {
        assert_bounded(Scenario {
            lends_shares: false,
            ..with_faults(seed, 100, 100)
        });
    }
}

#[test]
fn a_small_limit_holds_under_faults() {
    for seed in SEEDS {
        assert_bounded(with_faults(seed, 3, 3));
    }
}

#[test]
fn the_limit_holds_when_all_nodes_are_killed_twice_within_a_window() {
    for seed in SEEDS {
        let kills = [10_000, 12_500, 14_000, 20_000].map(Duration::from_millis);
        assert_bounded(Scenario {
            kill_all_at: kills.to_vec(),
            ..Scenario::new(seed, 60, 60)
        });
    }
}

#[test]
fn nearly_the_whole_limit_is_available_to_a_few_nodes() {
    let mut demand = vec![0.0; 12];
    demand[3] = 300.0;
    demand[7] = 100.0;
    let fleet = assert_bounded(Scenario {
        demand,
        ..Scenario::new(1, 100, 100)
    });
    assert!(fleet.admitted.len() > 3_700, "{}", fleet.admitted.len());
}

#[test]
fn demand_below_the_limit_is_admitted_on_any_node() {
    let mut demand = vec![0.0; 12];
    demand[0] = 40.0;
    demand[5] = 3.0;
    demand[9] = 15.0;
    let fleet = assert_bounded(Scenario {
        demand,
        ..Scenario::new(2, 100, 100)
    });
    // Only operations that arrive right after the first loans find no room yet.
    assert!(
        fleet.denied < 100,
        "{} of {} denied",
        fleet.denied,
        fleet.wanted
    );
}

#[test]
fn without_lending_most_of_the_limit_is_unavailable() {
    let mut demand = vec![0.0; 12];
    demand[0] = 60.0;
    let fleet = assert_bounded(Scenario {
        demand,
        lends_shares: false,
        ..Scenario::new(2, 100, 100)
    });
    assert!(fleet.admitted.len() < 600, "{}", fleet.admitted.len());
}

/// The whole fleet is killed while it is partitioned in two. Neither half may count itself as the
/// whole fleet.
#[test]
fn restarted_halves_of_a_partitioned_fleet_count_all_nodes() {
    for seed in SEEDS {
        assert_bounded(Scenario {
            partition: Some((Duration::from_secs(8), Duration::from_secs(28))),
            kill_all_at: vec![Duration::from_secs(12)],
            ..Scenario::new(seed, 100, 20)
        });
    }
}

/// Restarted nodes may have lent their share to a coordinator that they no longer see.
#[test]
fn restarted_nodes_do_not_lend_their_share_twice() {
    for seed in SEEDS {
        assert_bounded(Scenario {
            repeated_partitions: true,
            demand: vec![60.0; 12],
            ..Scenario::new(seed, 100, 5)
        });
    }
}

/// The window in which the platform counts.
const WINDOW: LimitWindow = LimitWindow {
    length: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

#[test]
fn no_window_admits_more_than_it_may_under_faults() {
    for seed in SEEDS {
        for (rate, burst) in [(100, 100), (22, 22), (3, 3), (40, 400)] {
            assert_bounded(Scenario {
                window: Some(WINDOW),
                demand: vec![60.0; 12],
                ..with_faults(seed, rate, burst)
            });
        }
    }
}

#[test]
fn no_window_admits_more_than_it_may_during_a_rolling_restart() {
    for seed in SEEDS {
        assert_bounded(Scenario {
            window: Some(WINDOW),
            restart_interval: Some(Duration::from_millis(700)),
            demand: vec![60.0; 12],
            ..Scenario::new(seed, 22, 22)
        });
    }
}

#[test]
fn demand_spread_over_many_nodes_is_admitted_as_on_few() {
    let fleet = assert_bounded(Scenario {
        nodes: 72,
        demand: vec![20.0 / 72.0; 72],
        window: Some(WINDOW),
        ..Scenario::new(1, 22, 22)
    });
    let (wanted, denied) = fleet.settled;
    assert!(denied * 100 <= wanted, "{denied} of {wanted}");
}

/// Operations denied per thousand, with a demand below the limit, while all nodes are restarted in
/// turn.
fn denied_per_thousand(seed: u64) -> u64 {
    let fleet = assert_bounded(Scenario {
        restart_interval: Some(Duration::from_millis(2_500)),
        demand: vec![7.5; 12],
        window: Some(WINDOW),
        ..Scenario::new(seed, 100, 100)
    });
    let (wanted, denied) = fleet.settled;
    denied * 1_000 / wanted
}

#[test]
fn few_operations_are_denied_during_a_rolling_restart() {
    let denied: u64 = (0..10).map(denied_per_thousand).sum::<u64>() / 10;
    assert!(denied <= 10, "{denied} of 1,000");
}

#[test]
fn a_limit_of_zero_admits_nothing() {
    let fleet = Fleet::run(Scenario::new(3, 0, 0));
    assert!(fleet.admitted.is_empty());
    assert!(fleet.denied > 0);
}

#[test]
fn denied_operations_get_distinct_retry_times() {
    let fleet = Fleet::run(Scenario::new(4, 20, 20));
    let distinct: std::collections::BTreeSet<_> = fleet.retries.iter().collect();
    assert!(
        distinct.len() * 2 > fleet.retries.len(),
        "{} of {}",
        distinct.len(),
        fleet.retries.len()
    );
    let longest = Duration::from_secs(30);
    assert!(fleet.retries.iter().all(|retry| *retry <= longest));
}

#[test]
fn a_run_is_reproducible_from_its_seed() {
    let first = Fleet::run(with_faults(5, 50, 50));
    let second = Fleet::run(with_faults(5, 50, 50));
    assert_eq!(first.admitted, second.admitted);
}

#[track_caller]
fn assert_detected(bug: InjectedBug) {
    let partition = (Duration::from_secs(8), Duration::from_secs(28));
    let is_detected = (0..20).any(|seed| {
        let fleet = Fleet::run(Scenario {
            bug: Some(bug),
            partition: Some(partition),
            demand: vec![60.0; 12],
            ..Scenario::new(seed, 100, 5)
        });
        fleet.excess().is_some()
    });
    assert!(is_detected, "{bug:?} was not detected");
}

#[test]
fn a_loan_that_outlives_its_lender_is_detected() {
    assert_detected(InjectedBug::LoanOutlivesLender);
}

#[test]
fn counting_only_the_nodes_in_view_is_detected() {
    assert_detected(InjectedBug::CountsOnlyVisibleNodes);
}

#[test]
fn a_message_that_lends_twice_is_detected() {
    assert_detected(InjectedBug::DuplicateLends);
}
