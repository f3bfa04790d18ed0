//! Databases that send any of their replies again at any later moment, and refuse statements as busy: each caller still
//! receives the response to its own statement.

mod support;

use stairward_simulation::{BrokenVariant, Invariant, OperationMix, Options, Report, simulate};
use support::assert_holds;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=20;

/// A run in which databases repeat replies.
fn with_repetitions(seed: u64) -> Options {
    Options {
        repeated_reply_percent: 5,
        operations: OperationMix {
            sets_up_in_transactions: true,
            ..OperationMix::default()
        },
        ..Options::new(seed)
    }
}

/// A run in which databases repeat replies, among them refusals.
fn with_refusals(seed: u64) -> Options {
    Options {
        busy_percent: 8,
        ..with_repetitions(seed)
    }
}

fn assert_repeated(report: &Report) {
    assert!(
        report.repeated_replies > 50,
        "{} repeated replies",
        report.repeated_replies
    );
    assert!(report.checked[&Invariant::OwnResponse] > 100);
    assert!(
        report.succeeded > report.failed,
        "{} succeeded, {} failed, faults {:#?}",
        report.succeeded,
        report.failed,
        report.faults
    );
}

/// Guards against a repeated reply that is taken for the reply to a later command.
#[test]
fn repeated_replies_answer_no_other_statement() {
    for seed in SEEDS {
        assert_repeated(&assert_holds(&with_repetitions(seed)));
    }
}

/// Guards against a repeated refusal that is taken for a promise about another statement.
#[test]
fn repeated_refusals_promise_nothing_about_other_statements() {
    for seed in SEEDS {
        assert_repeated(&assert_holds(&with_refusals(seed)));
    }
}

/// Guards against a repeated status that is taken for a newer proof of an older position.
#[test]
fn repeated_statuses_prove_no_leadership() {
    for seed in SEEDS {
        assert_repeated(&assert_holds(&Options {
            old_primaries_keep_running: true,
            ..with_refusals(seed)
        }));
    }
}

#[test]
fn repeated_replies_leave_synchronous_commits_kept() {
    for seed in SEEDS {
        assert_repeated(&assert_holds(&Options {
            synchronous_replicas: 1,
            ..with_refusals(seed)
        }));
    }
}

/// Guards against checks of repeated replies that never see one, and against refusals without repetitions that break a
/// promise.
#[test]
fn refusals_alone_break_no_promise() {
    for seed in SEEDS {
        let report = assert_holds(&Options {
            busy_percent: 8,
            ..Options::new(seed)
        });
        assert_eq!(report.repeated_replies, 0);
        assert!(report.succeeded > report.failed, "seed {seed}");
    }
}

#[test]
fn a_seed_determines_a_run_with_repetitions() {
    let first = simulate(&with_refusals(3));
    let second = simulate(&with_refusals(3));
    assert_eq!(first.fingerprint, second.fingerprint);
}

/// Seeds whose runs expose every missing defence.
const EXPOSING_SEEDS: std::ops::RangeInclusive<u64> = 31..=40;

/// A run in which databases repeat many replies and faults are close upon each other.
fn with_many_repetitions(seed: u64) -> Options {
    Options {
        repeated_reply_percent: 40,
        fault_count: 14,
        max_pause_ms: 1_500,
        old_primaries_keep_running: true,
        ..with_refusals(seed)
    }
}

/// Seeds whose runs with many refusals expose a missing confirmation, which few runs do.
const EXPOSING_REFUSAL_SEEDS: [u64; 4] = [42, 52, 187, 319];

/// A run in which databases also refuse many commands.
fn with_many_refusals(seed: u64) -> Options {
    Options {
        busy_percent: 30,
        ..with_many_repetitions(seed)
    }
}

#[test]
fn invariants_hold_where_databases_repeat_many_replies() {
    for seed in EXPOSING_SEEDS {
        assert_repeated(&assert_holds(&with_many_repetitions(seed)));
    }
    for seed in EXPOSING_REFUSAL_SEEDS {
        assert_holds(&with_many_refusals(seed));
    }
}

/// Guards against repetitions that meet the few connections of nodes that forward to each other.
#[test]
fn repeated_replies_answer_no_other_statement_where_nodes_forward() {
    for seed in SEEDS {
        assert_repeated(&assert_holds(&Options {
            connections: 8,
            sessions: 40,
            ..with_refusals(seed)
        }));
    }
}

/// The invariant that a missing defence violates.
fn detecting_invariant(variant: BrokenVariant) -> Invariant {
    match variant {
        BrokenVariant::FallingPositionsAccepted | BrokenVariant::RepeatedErrorsBelieved => {
            Invariant::NotRunGuarantee
        }
        BrokenVariant::NoReplyConfirmation => Invariant::SessionIsolation,
        _ => Invariant::OwnResponse,
    }
}

/// Guards against checks that pass although a defence is missing.
#[test]
fn each_missing_defence_against_repeated_replies_is_detected() {
    let is_detected = |variant: BrokenVariant| {
        let runs = EXPOSING_SEEDS.map(with_many_repetitions);
        let runs = runs.chain(EXPOSING_REFUSAL_SEEDS.map(with_many_refusals));
        runs.into_iter().any(|run| {
            let report = simulate(&Options {
                broken: Some(variant),
                ..run
            });
            let invariant = detecting_invariant(variant);
            let mut violations = report.violations.iter();
            violations.any(|violation| violation.invariant == invariant)
        })
    };
    let undetected: Vec<_> = BrokenVariant::OF_REPEATED_REPLIES
        .into_iter()
        .filter(|variant| !is_detected(*variant))
        .collect();
    assert_eq!(undetected, []);
}
