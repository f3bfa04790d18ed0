//! No window of any fleet admits more than the limit allows, whatever happens to its nodes; each promise of the
//! design is broken once, to show that the checker sees it.

mod support;

use stairward_limits::LimitWindow;
use stairward_types::Duration;
use support::{Broken, Fleet, Options};

/// Seeds of each check.
const SEEDS: std::ops::Range<u64> = 0..40;

fn assert_bounded(options: Options) -> Fleet {
    let seed = options.seed;
    let fleet = Fleet::run(options);
    assert_eq!(fleet.excess(), None, "seed {seed}");
    fleet
}

fn with_faults(seed: u64, rate: u64, burst: u64) -> Options {
    Options {
        faults: true,
        ..Options::new(seed, rate, burst)
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
        assert_bounded(Options {
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
        assert_bounded(Options {
            killed_all: kills.to_vec(),
            ..Options::new(seed, 60, 60)
        });
    }
}

#[test]
fn nearly_all_of_the_limit_is_used_where_it_is_wanted_on_few_nodes() {
    let mut demand = vec![0.0; 12];
    demand[3] = 300.0;
    demand[7] = 100.0;
    let fleet = assert_bounded(Options {
        demand,
        ..Options::new(1, 100, 100)
    });
    assert!(fleet.admitted.len() > 3_700, "{}", fleet.admitted.len());
}

#[test]
fn demand_below_the_limit_is_admitted_wherever_it_comes() {
    let mut demand = vec![0.0; 12];
    demand[0] = 40.0;
    demand[5] = 3.0;
    demand[9] = 15.0;
    let fleet = assert_bounded(Options {
        demand,
        ..Options::new(2, 100, 100)
    });
    // Only what comes in the moment after the first loans has no room yet.
    assert!(
        fleet.denied < 100,
        "{} of {} denied",
        fleet.denied,
        fleet.wanted
    );
}

#[test]
fn without_lending_most_of_the_limit_is_out_of_reach() {
    let mut demand = vec![0.0; 12];
    demand[0] = 60.0;
    let fleet = assert_bounded(Options {
        demand,
        lends_shares: false,
        ..Options::new(2, 100, 100)
    });
    assert!(fleet.admitted.len() < 600, "{}", fleet.admitted.len());
}

/// The whole fleet is killed while it is cut in two: neither half may take itself for all of it.
#[test]
fn halves_of_a_fleet_that_starts_anew_know_that_there_are_others() {
    for seed in SEEDS {
        assert_bounded(Options {
            cut: Some((Duration::from_secs(8), Duration::from_secs(28))),
            killed_all: vec![Duration::from_secs(12)],
            ..Options::new(seed, 100, 20)
        });
    }
}

/// Nodes that start anew may have lent their share to a coordinator that they don't see any more.
#[test]
fn shares_of_nodes_that_start_anew_are_lent_once() {
    for seed in SEEDS {
        assert_bounded(Options {
            flips: true,
            demand: vec![60.0; 12],
            ..Options::new(seed, 100, 5)
        });
    }
}

/// How the platform counts.
const WINDOW: LimitWindow = LimitWindow {
    length: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

#[test]
fn no_window_admits_more_than_it_may_under_faults() {
    for seed in SEEDS {
        for (rate, burst) in [(100, 100), (22, 22), (3, 3), (40, 400)] {
            assert_bounded(Options {
                window: Some(WINDOW),
                demand: vec![60.0; 12],
                ..with_faults(seed, rate, burst)
            });
        }
    }
}

#[test]
fn no_window_admits_more_than_it_may_while_nodes_are_stopped_in_turn() {
    for seed in SEEDS {
        assert_bounded(Options {
            window: Some(WINDOW),
            rolled: Some(Duration::from_millis(700)),
            demand: vec![60.0; 12],
            ..Options::new(seed, 22, 22)
        });
    }
}

#[test]
fn a_demand_spread_over_many_nodes_gets_what_it_would_get_on_few() {
    let fleet = assert_bounded(Options {
        nodes: 72,
        demand: vec![20.0 / 72.0; 72],
        window: Some(WINDOW),
        ..Options::new(1, 22, 22)
    });
    let (wanted, denied) = fleet.settled;
    assert!(denied * 100 <= wanted, "{denied} of {wanted}");
}

/// What is denied of a demand below the limit, in thousandths, while all nodes are stopped and started in turn.
fn denied_in_a_roll(seed: u64) -> u64 {
    let fleet = assert_bounded(Options {
        rolled: Some(Duration::from_millis(2_500)),
        demand: vec![7.5; 12],
        window: Some(WINDOW),
        ..Options::new(seed, 100, 100)
    });
    let (wanted, denied) = fleet.settled;
    denied * 1_000 / wanted
}

#[test]
fn little_is_denied_while_nodes_are_stopped_and_started_in_turn() {
    let denied: u64 = (0..10).map(denied_in_a_roll).sum::<u64>() / 10;
    assert!(denied <= 10, "{denied} of 1,000");
}

#[test]
fn a_limit_of_nothing_admits_nothing() {
    let fleet = Fleet::run(Options::new(3, 0, 0));
    assert!(fleet.admitted.is_empty());
    assert!(fleet.denied > 0);
}

#[test]
fn those_who_are_refused_are_told_to_come_back_one_after_the_other() {
    let fleet = Fleet::run(Options::new(4, 20, 20));
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
fn one_seed_gives_one_run() {
    let first = Fleet::run(with_faults(5, 50, 50));
    let second = Fleet::run(with_faults(5, 50, 50));
    assert_eq!(first.admitted, second.admitted);
}

#[track_caller]
fn assert_caught(broken: Broken) {
    let cut = (Duration::from_secs(8), Duration::from_secs(28));
    let is_caught = (0..20).any(|seed| {
        let fleet = Fleet::run(Options {
            broken: Some(broken),
            cut: Some(cut),
            demand: vec![60.0; 12],
            ..Options::new(seed, 100, 5)
        });
        fleet.excess().is_some()
    });
    assert!(is_caught, "{broken:?} was not caught");
}

#[test]
fn a_loan_that_outlives_its_lender_is_caught() {
    assert_caught(Broken::LoanOutlived);
}

#[test]
fn counting_only_the_nodes_in_view_is_caught() {
    assert_caught(Broken::PresentView);
}

#[test]
fn a_message_that_lends_twice_is_caught() {
    assert_caught(Broken::LendsTwice);
}
