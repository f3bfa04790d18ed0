//! Replication, elections and faults of a group, on virtual time.

mod support;

use std::time::Duration;

use stairward_standins::Observation;
use stairward_standins::group::Fault;
use stairward_standins::sql::SqlError;
use stairward_types::{BackendId, LogPosition, Term};
use support::bench::{Bench, Client};
use support::{group_config, member_names};

/// Three members with a table that all have applied.
fn bench(seed: u64) -> (Bench, Vec<BackendId>) {
    let members = member_names(3);
    let mut bench = Bench::new(&group_config(&members), seed);
    let client = bench.open(&members[0]);
    bench.done(
        &client,
        "CREATE TABLE booking (id int PRIMARY KEY, donor text)",
    );
    bench.advance_millis(20);
    (bench, members)
}

fn book(bench: &mut Bench, client: &Client, id: u32) {
    bench.done(
        client,
        &format!("INSERT INTO booking VALUES ({id}, 'donor')"),
    );
}

fn bookings(bench: &mut Bench, client: &Client) -> Vec<String> {
    bench.rows(client, "SELECT id FROM booking")
}

#[test]
fn a_commit_reaches_the_replicas_after_their_lag() {
    let (mut bench, members) = bench(1);
    let lag = Duration::from_millis(400);
    bench.fault(Fault::Lag {
        member: members[2].clone(),
        lag,
    });
    let primary = bench.open(&members[0]);
    let prompt = bench.open(&members[1]);
    let lagging = bench.open(&members[2]);
    book(&mut bench, &primary, 1);
    let commit = bench.last_commit();
    bench.advance_millis(5);
    assert_eq!(bookings(&mut bench, &prompt), ["1"]);
    assert!(bookings(&mut bench, &lagging).is_empty());
    assert!(!bench.group.freshness(&members[2]).unwrap().covers(commit));
    let received = bench.rows(&lagging, "SELECT pg_last_wal_receive_lsn()");
    assert_eq!(received, [commit.position.to_string()]);
    bench.advance_millis(400);
    assert_eq!(bookings(&mut bench, &lagging), ["1"]);
    assert!(bench.group.freshness(&members[2]).unwrap().covers(commit));
}

#[test]
fn replicas_refuse_writes() {
    let (mut bench, members) = bench(1);
    let replica = bench.open(&members[1]);
    let refused = bench.run(&replica, "INSERT INTO booking VALUES (1, 'x')");
    assert_eq!(refused.unwrap_err().sqlstate(), "25006");
    assert_eq!(bench.rows(&replica, "SELECT pg_is_in_recovery()"), ["t"]);
    assert_eq!(bench.rows(&replica, "SHOW transaction_read_only"), ["on"]);
}

#[test]
fn one_statement_reports_term_position_and_role() {
    let (mut bench, members) = bench(1);
    let primary = bench.open(&members[0]);
    let sql = "SELECT timeline_id, pg_is_in_recovery(), CASE WHEN pg_is_in_recovery() \
               THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END \
               FROM pg_control_checkpoint()";
    let position = bench.last_commit().position;
    assert_eq!(bench.rows(&primary, sql), [format!("1|f|{position}")]);
}

#[test]
fn a_stopped_primary_is_replaced_in_a_later_term() {
    for seed in 1..=20 {
        let (mut bench, members) = bench(seed);
        let client = bench.open(&members[0]);
        book(&mut bench, &client, 1);
        bench.advance_millis(10);
        bench.fault(Fault::Stop {
            member: members[0].clone(),
        });
        let stopped_at = bench.now;
        let primary = bench.await_new_primary(&members[0]);
        let gap = bench.now.since(stopped_at);
        assert!(gap < Duration::from_millis(2_000), "seed {seed}: {gap:?}");
        let client = bench.open(&primary);
        book(&mut bench, &client, 2);
        assert!(bench.last_commit().term > Term(1));
        assert_eq!(bookings(&mut bench, &client), ["1", "2"]);
        bench.fault(Fault::Heal {
            member: members[0].clone(),
        });
        bench.advance_millis(500);
        let back = bench.open(&members[0]);
        assert_eq!(bookings(&mut bench, &back), ["1", "2"]);
        assert_eq!(bench.rows(&back, "SELECT pg_is_in_recovery()"), ["t"]);
    }
}

#[test]
fn elections_take_little_longer_than_their_timeout() {
    let mut gaps = Vec::new();
    for seed in 1..=1_000 {
        let (mut bench, members) = bench(seed);
        // Stops the primary at different moments between two heartbeats.
        bench.advance(Duration::from_micros(seed * 75));
        let stopped_at = bench.now;
        bench.fault(Fault::Stop {
            member: members[0].clone(),
        });
        bench.await_new_primary(&members[0]);
        gaps.push(bench.now.since(stopped_at));
    }
    gaps.sort();
    println!(
        "p50 {:?}, p99 {:?}, longest {:?}",
        gaps[500], gaps[990], gaps[999]
    );
    // The timeout is 300 ms and up to 150 ms more, from the last heartbeat.
    assert!(gaps[500] < Duration::from_millis(400));
    assert!(gaps[990] < Duration::from_millis(1_000));
}

#[test]
fn commits_of_a_cut_off_primary_are_lost_when_it_rejoins() {
    for seed in 1..=20 {
        let (mut bench, members) = bench(seed);
        let old = bench.open(&members[0]);
        book(&mut bench, &old, 1);
        bench.advance_millis(10);
        bench.fault(Fault::CutOff {
            member: members[0].clone(),
        });
        book(&mut bench, &old, 2);
        let lost = bench.last_commit();
        assert_eq!(lost.term, Term(1));
        let primary = bench.await_new_primary(&members[0]);
        let believes = bench.rows(&old, "SELECT pg_is_in_recovery()");
        assert_eq!(believes, ["f"], "it still believes that it leads");
        let client = bench.open(&primary);
        book(&mut bench, &client, 3);
        bench.fault(Fault::Heal {
            member: members[0].clone(),
        });
        bench.advance_millis(500);
        assert_eq!(bench.ended_with(&old), Some(SqlError::Terminated));
        let rejoined = bench.open(&members[0]);
        assert_eq!(bookings(&mut bench, &rejoined), ["1", "3"], "seed {seed}");
        let reported = bench.truths.iter().any(|truth| {
            matches!(truth.observation, Observation::CommitsLost { discarded, .. } if discarded == lost)
        });
        assert!(reported);
        for member in &members {
            assert_eq!(bench.applied_rows(member, "booking"), ["1", "3"]);
        }
    }
}

#[test]
fn a_member_that_lacks_commits_is_not_elected() {
    for seed in 1..=30 {
        let (mut bench, members) = bench(seed);
        let client = bench.open(&members[0]);
        // `c` misses a commit that `b` holds.
        bench.fault(Fault::CutOff {
            member: members[2].clone(),
        });
        book(&mut bench, &client, 1);
        bench.advance_millis(10);
        assert_eq!(bench.applied_rows(&members[1], "booking"), ["1"]);
        assert!(bench.applied_rows(&members[2], "booking").is_empty());
        bench.fault(Fault::Stop {
            member: members[0].clone(),
        });
        bench.fault(Fault::Heal {
            member: members[2].clone(),
        });
        let primary = bench.await_new_primary(&members[0]);
        assert_eq!(primary, members[1], "seed {seed}");
    }
}

#[test]
fn without_a_majority_nobody_is_elected() {
    let (mut bench, members) = bench(3);
    for member in &members[..2] {
        bench.fault(Fault::Stop {
            member: member.clone(),
        });
    }
    bench.advance_millis(10_000);
    assert_eq!(bench.group.primary(), None);
    let term = bench.group.freshness(&members[2]).unwrap().term;
    assert_eq!(
        term,
        Term(1),
        "a pre-vote without a majority raises no term"
    );
}

#[test]
fn a_member_that_voted_reports_the_later_term_and_no_position() {
    let (mut bench, members) = bench(4);
    bench.fault(Fault::Stop {
        member: members[0].clone(),
    });
    // Between the vote and the first message of the new primary there is one latency each way.
    let mut seen = false;
    for _ in 0..20_000 {
        bench.advance(Duration::from_micros(100));
        for member in &members[1..] {
            let reported = bench.group.freshness(member).unwrap();
            if reported.term > Term(1) && bench.group.log_end(member).unwrap().term == Term(1) {
                assert_eq!(reported.position, LogPosition(0));
                seen = true;
            }
        }
    }
    assert!(seen);
}

#[test]
fn a_paused_primary_acts_on_its_old_belief() {
    let (mut bench, members) = bench(5);
    let old = bench.open(&members[0]);
    bench.fault(Fault::Pause {
        member: members[0].clone(),
    });
    let late = bench.start(&old, "INSERT INTO booking VALUES (9, 'late')");
    let primary = bench.await_new_primary(&members[0]);
    bench.advance_millis(100);
    assert!(bench.result(late).is_none());
    bench.fault(Fault::Resume {
        member: members[0].clone(),
    });
    bench.advance_millis(500);
    let client = bench.open(&primary);
    assert!(
        bookings(&mut bench, &client).is_empty(),
        "a late write may not survive"
    );
    assert_eq!(bench.group.primary(), Some(&primary));
}

#[test]
fn a_switchover_loses_nothing_and_waits_for_open_transactions() {
    let (mut bench, members) = bench(6);
    let old = bench.open(&members[0]);
    let other = bench.open(&members[0]);
    bench.done(&old, "BEGIN");
    book(&mut bench, &old, 1);
    bench.switch_over(&members[2]);
    bench.advance_millis(200);
    let refused = bench.run(&other, "INSERT INTO booking VALUES (2, 'x')");
    assert_eq!(refused.unwrap_err(), SqlError::SwitchoverUnderWay);
    assert_eq!(bench.group.primary(), Some(&members[0]));
    bench.done(&old, "COMMIT");
    let primary = bench.await_new_primary(&members[0]);
    assert_eq!(primary, members[2]);
    assert_eq!(bench.applied_rows(&members[2], "booking"), ["1"]);
    bench.advance_millis(100);
    assert_eq!(bench.ended_with(&old), Some(SqlError::Terminated));
}

#[test]
fn a_switchover_to_a_member_that_cannot_catch_up_is_given_up() {
    let (mut bench, members) = bench(7);
    bench.fault(Fault::CutOff {
        member: members[2].clone(),
    });
    let client = bench.open(&members[0]);
    book(&mut bench, &client, 1);
    bench.switch_over(&members[2]);
    bench.advance_millis(5_000);
    assert_eq!(bench.group.primary(), Some(&members[0]));
    book(&mut bench, &client, 2);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let (mut bench, members) = bench(11);
        bench.fault(Fault::Stop {
            member: members[0].clone(),
        });
        bench.advance_millis(3_000);
        format!("{:?}", bench.truths)
    };
    assert_eq!(run(), run());
}
