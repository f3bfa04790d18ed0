//! Members of a group with one synchronous replica are lost one after the other or together, and come back or not.
//! Nothing acknowledged is lost, and a service whose data is there is served again.

mod support;

use std::time::Duration;

use stairward_simulation::{
    BrokenVariant, FaultKind, Options, PlannedFault, PlannedFaultKind, Report, Return, simulate,
};
use stairward_types::{BackendId, Time};
use support::assert_holds;

const PRIMARY: &str = "db-1";
const NEAR: &str = "db-2";
const FAR: &str = "db-3";
/// When the members are lost in [`lost_together`], and the first one in [`lost_one_after_the_other`].
const LOST_AT: Duration = Duration::from_secs(5);
/// How long before the primary the other replica stops to receive the log in [`lost_together`].
const LAG: Duration = Duration::from_millis(500);
/// From the loss of a primary, or the return of a member, to the next statement at the leader, where the data is there.
const SERVED_AFTER: Duration = Duration::from_secs(6);

fn backend(name: &str) -> BackendId {
    BackendId::new(name).unwrap()
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn stops(at: Duration, name: &str, returns: Return) -> PlannedFault {
    PlannedFault {
        at,
        kind: PlannedFaultKind::DatabaseStops(backend(name), returns),
    }
}

fn restarts(at: Duration) -> PlannedFault {
    PlannedFault {
        at,
        kind: PlannedFaultKind::NodesRestart,
    }
}

/// A run with one synchronous replica and no faults but these. The seed decides whether old primaries keep running.
fn options(seed: u64, planned_faults: Vec<PlannedFault>) -> Options {
    let last = planned_faults.iter().map(|planned| planned.at).max();
    let returns = planned_faults
        .iter()
        .filter_map(|planned| match planned.kind {
            PlannedFaultKind::DatabaseStops(_, Return::WithLog(after) | Return::Empty(after)) => {
                Some(after)
            }
            _ => None,
        });
    let tail = returns.max().unwrap_or_default() + seconds(15);
    Options {
        faults: Vec::<FaultKind>::new(),
        planned_faults,
        synchronous_replicas: 1,
        compares_logs: true,
        old_primaries_keep_running: seed.is_multiple_of(2),
        sessions: 12,
        duration: last.unwrap_or_default() + tail,
        ..Options::new(seed)
    }
}

/// The primary and the replica that had received the newest commits end, while the other replica lags behind.
fn lost_together(near_returns: Return, primary_returns: Return) -> Vec<PlannedFault> {
    let isolation = PlannedFaultKind::DatabaseIsolated(backend(FAR), LAG + seconds(1));
    vec![
        PlannedFault {
            at: LOST_AT - LAG,
            kind: isolation,
        },
        stops(LOST_AT, NEAR, near_returns),
        stops(LOST_AT, PRIMARY, primary_returns),
    ]
}

/// A replica ends before the primary does; neither comes back.
fn lost_one_after_the_other(pause: Duration) -> Vec<PlannedFault> {
    vec![
        stops(LOST_AT, NEAR, Return::Never),
        stops(LOST_AT + pause, PRIMARY, Return::Never),
    ]
}

#[track_caller]
fn assert_served_after(report: &Report, at: Duration, within: Duration) {
    let from = Time::ZERO + at;
    let first = report.leader_reads.iter().find(|served| **served >= from);
    let is_in_time = first.is_some_and(|served| *served <= from + within);
    assert!(
        is_in_time,
        "read at the leader after {at:?}: {first:?}, {:#?}",
        report.decisions
    );
}

#[track_caller]
fn assert_committed_after(report: &Report, at: Duration, within: Duration) {
    let from = Time::ZERO + at;
    let first = report.commits.iter().find(|served| **served >= from);
    let is_in_time = first.is_some_and(|served| *served <= from + within);
    assert!(
        is_in_time,
        "commit after {at:?}: {first:?}, {:#?}",
        report.decisions
    );
}

/// Guards against the loss of acknowledged commits once their holder has been gone for long, or all nodes have restarted.
#[test]
fn a_replica_without_acknowledged_commits_is_never_promoted() {
    for seed in 1..=4 {
        let mut faults = lost_together(Return::Never, Return::Never);
        faults.push(restarts(LOST_AT + seconds(6 + 5 * seed)));
        faults.push(restarts(LOST_AT + seconds(65)));
        let report = assert_holds(&options(seed, faults));
        assert_eq!(report.promotions, 0, "{:#?}", report.decisions);
    }
}

/// Guards against the loss of acknowledged commits once the store has been restored from a copy.
#[test]
fn a_restore_of_the_store_loses_no_member() {
    for seed in 1..=4 {
        let mut faults = lost_together(Return::Never, Return::Never);
        faults.push(PlannedFault {
            at: LOST_AT + seconds(10),
            kind: PlannedFaultKind::StoreRestored(seconds(8)),
        });
        faults.push(restarts(LOST_AT + seconds(30)));
        let report = assert_holds(&options(seed, faults));
        assert_eq!(report.promotions, 0, "{:#?}", report.decisions);
    }
}

/// Guards against an outage of reads until the primary is back: the replica that is left has everything.
#[test]
fn a_replica_that_has_everything_is_promoted_at_once() {
    for (seed, pause) in [(1, 12), (2, 12), (3, 20), (4, 30)] {
        let faults = lost_one_after_the_other(seconds(pause));
        let report = assert_holds(&options(seed, faults));
        let lost_at = LOST_AT + seconds(pause) + Duration::from_millis(50);
        assert_served_after(&report, lost_at, SERVED_AFTER);
    }
}

/// As before, with nodes that have restarted since the replica was lost.
#[test]
fn restarted_nodes_promote_a_replica_that_has_everything() {
    for seed in 1..=3 {
        let pause = seconds(20);
        let mut faults = lost_one_after_the_other(pause);
        faults.push(restarts(LOST_AT + pause - seconds(7)));
        let report = assert_holds(&options(seed, faults));
        let lost_at = LOST_AT + pause + Duration::from_millis(50);
        assert_served_after(&report, lost_at, SERVED_AFTER);
    }
}

#[test]
fn nothing_is_lost_whatever_the_pause_between_the_losses() {
    for seed in 1..=16 {
        let pause = Duration::from_millis(seed * 700);
        assert_holds(&options(seed, lost_one_after_the_other(pause)));
    }
}

#[test]
fn a_service_is_served_again_once_a_member_is_back_with_its_log() {
    for seed in 1..=5 {
        let back_after = seconds(2 + 9 * seed);
        let returns = Return::WithLog(back_after);
        let near = lost_together(returns, Return::Never);
        let primary = lost_together(Return::Never, returns);
        for faults in [near, primary] {
            let mut faults = faults;
            if seed >= 3 {
                faults.push(restarts(LOST_AT + seconds(6)));
            }
            let report = assert_holds(&options(seed, faults));
            assert_committed_after(&report, LOST_AT + back_after, SERVED_AFTER);
        }
    }
}

/// Guards against the loss of acknowledged commits: the process of their holder is back, but its log is not.
#[test]
fn a_member_that_is_back_without_its_log_makes_nothing_safe() {
    for seed in 1..=4 {
        let back_empty = Return::Empty(seconds(5 + 9 * seed));
        let faults = lost_together(back_empty, Return::Never);
        let report = simulate(&options(seed, faults));
        assert_eq!(report.promotions, 0, "{:#?}", report.decisions);
    }
}

#[test]
fn forgotten_members_are_detected() {
    for (broken, has_restart) in [
        (BrokenVariant::ForgottenMembers, false),
        (BrokenVariant::MembersForgottenAtRestart, true),
    ] {
        let mut faults = lost_together(Return::Never, Return::Never);
        if has_restart {
            faults.push(restarts(LOST_AT + seconds(8)));
        }
        let report = simulate(&Options {
            broken: Some(broken),
            ..options(2, faults)
        });
        let is_lost = !report.violations.is_empty();
        assert!(is_lost, "{broken:?}: {:#?}", report.decisions);
    }
}

/// The first commit after the primary is back, beside a lagging replica and without the one that it was lost with.
fn first_commit_after_return(broken: Option<BrokenVariant>, seed: u64) -> Option<Time> {
    let back_after = seconds(8);
    let faults = lost_together(Return::Never, Return::WithLog(back_after));
    let report = simulate(&Options {
        broken,
        ..options(seed, faults)
    });
    let back_at = Time::ZERO + LOST_AT + back_after;
    report.commits.into_iter().find(|served| *served >= back_at)
}

/// A refused attempt must leave nothing that outlives the return of a member.
#[test]
fn holds_that_refused_attempts_leave_behind_are_detected() {
    let is_late = |broken| {
        let limit = Time::ZERO + LOST_AT + seconds(8) + seconds(2);
        let is_late = |seed| first_commit_after_return(broken, seed).is_none_or(|at| at > limit);
        (1..=6).filter(|seed| is_late(*seed)).count()
    };
    assert_eq!(is_late(None), 0);
    assert!(is_late(Some(BrokenVariant::RefusalsLeaveHolds)) > 0);
}

#[test]
fn members_that_are_never_removed_are_detected() {
    let report = simulate(&Options {
        broken: Some(BrokenVariant::PermanentMembers),
        ..options(2, lost_one_after_the_other(seconds(20)))
    });
    let lost_at = Time::ZERO + LOST_AT + seconds(21);
    assert!(report.leader_reads.iter().all(|served| *served < lost_at));
}
