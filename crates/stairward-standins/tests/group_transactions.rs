//! Transactions and SQL at one member, on virtual time.

mod support;

use stairward_standins::Observation;
use stairward_standins::group::{ClientRequest, Fault};
use stairward_standins::sql::SqlError;
use support::bench::{Bench, Client};
use support::{group_config, member_names};

/// A single member with a table of two accounts, and two clients.
fn bench() -> (Bench, Client, Client) {
    let members = member_names(1);
    let mut bench = Bench::new(&group_config(&members), 1);
    let first = bench.open(&members[0]);
    let second = bench.open(&members[0]);
    bench.done(
        &first,
        "CREATE TABLE account (id int PRIMARY KEY, coins int NOT NULL)",
    );
    bench.done(&first, "INSERT INTO account VALUES (1, 10), (2, 20)");
    (bench, first, second)
}

#[test]
fn a_row_changed_by_two_transactions_loses_no_update() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&first, "UPDATE account SET coins = coins + 1 WHERE id = 1");
    let waiting = bench.start(&second, "UPDATE account SET coins = coins + 5 WHERE id = 1");
    bench.advance_millis(50);
    assert!(
        bench.result(waiting).is_none(),
        "it must wait for the first"
    );
    bench.done(&first, "COMMIT");
    assert_eq!(bench.finish(waiting).unwrap().tag, "UPDATE 1");
    assert_eq!(
        bench.rows(&first, "SELECT coins FROM account WHERE id = 1"),
        ["16"]
    );
}

#[test]
fn uncommitted_changes_are_seen_by_nobody_else() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&first, "DELETE FROM account WHERE id = 1");
    assert_eq!(bench.rows(&first, "SELECT id FROM account"), ["2"]);
    assert_eq!(bench.rows(&second, "SELECT id FROM account"), ["1", "2"]);
    bench.done(&first, "ROLLBACK");
    assert_eq!(bench.rows(&first, "SELECT id FROM account"), ["1", "2"]);
}

#[test]
fn a_snapshot_refuses_to_overwrite_what_changed_since() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "BEGIN ISOLATION LEVEL REPEATABLE READ");
    assert_eq!(
        bench.rows(&first, "SELECT coins FROM account WHERE id = 1"),
        ["10"]
    );
    bench.done(&second, "UPDATE account SET coins = 99 WHERE id = 1");
    assert_eq!(
        bench.rows(&first, "SELECT coins FROM account WHERE id = 1"),
        ["10"]
    );
    let refused = bench.run(&first, "UPDATE account SET coins = coins + 1 WHERE id = 1");
    assert_eq!(refused.unwrap_err(), SqlError::SerializationFailure);
    bench.done(&first, "ROLLBACK");
    assert_eq!(
        bench.rows(&first, "SELECT coins FROM account WHERE id = 1"),
        ["99"]
    );
}

#[test]
fn a_deadlock_ends_with_an_error_for_one() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&second, "BEGIN");
    bench.done(&first, "UPDATE account SET coins = 0 WHERE id = 1");
    bench.done(&second, "UPDATE account SET coins = 0 WHERE id = 2");
    let waiting = bench.start(&first, "UPDATE account SET coins = 0 WHERE id = 2");
    let refused = bench.run(&second, "UPDATE account SET coins = 0 WHERE id = 1");
    assert_eq!(refused.unwrap_err(), SqlError::DeadlockDetected);
    assert!(
        bench.result(waiting).is_none(),
        "the lock is held until the rollback"
    );
    bench.done(&second, "ROLLBACK");
    bench.finish(waiting).unwrap();
}

#[test]
fn a_failed_transaction_takes_only_its_end() {
    let (mut bench, first, _) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&first, "UPDATE account SET coins = 0");
    let duplicate = bench.run(&first, "INSERT INTO account VALUES (1, 1)");
    assert_eq!(duplicate.unwrap_err().sqlstate(), "23505");
    let ignored = bench.run(&first, "SELECT 1");
    assert_eq!(ignored.unwrap_err(), SqlError::FailedTransaction);
    assert_eq!(bench.done(&first, "COMMIT").tag, "ROLLBACK");
    assert_eq!(bench.rows(&first, "SELECT SUM(coins) FROM account"), ["30"]);
}

#[test]
fn savepoints_take_back_what_followed_them() {
    let (mut bench, first, _) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&first, "UPDATE account SET coins = 11 WHERE id = 1");
    bench.done(&first, "SAVEPOINT before_second");
    bench.done(&first, "UPDATE account SET coins = 21 WHERE id = 2");
    bench
        .run(&first, "SELECT nothing FROM account")
        .unwrap_err();
    bench.done(&first, "ROLLBACK TO SAVEPOINT before_second");
    bench.done(&first, "COMMIT");
    assert_eq!(
        bench.rows(&first, "SELECT coins FROM account ORDER BY id"),
        ["11", "20"]
    );
}

#[test]
fn conflicting_inserts_run_once() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&first, "INSERT INTO account VALUES (7, 1)");
    let sql = "INSERT INTO account VALUES (7, 2) ON CONFLICT DO NOTHING RETURNING id";
    let waiting = bench.start(&second, sql);
    bench.advance_millis(20);
    assert!(bench.result(waiting).is_none());
    bench.done(&first, "COMMIT");
    let skipped = bench.finish(waiting).unwrap();
    assert_eq!(
        (skipped.tag.as_str(), skipped.rows.len()),
        ("INSERT 0 0", 0)
    );
    assert_eq!(
        bench.rows(&first, "SELECT coins FROM account WHERE id = 7"),
        ["1"]
    );
}

#[test]
fn a_connection_that_ends_frees_its_locks_and_rolls_back() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "BEGIN");
    bench.done(&first, "UPDATE account SET coins = 0 WHERE id = 1");
    let waiting = bench.start(&second, "UPDATE account SET coins = coins + 1 WHERE id = 1");
    bench.advance_millis(5);
    bench.request(
        &first,
        ClientRequest::Close {
            connection: first.number,
        },
    );
    bench.finish(waiting).unwrap();
    assert_eq!(
        bench.rows(&second, "SELECT coins FROM account WHERE id = 1"),
        ["11"]
    );
}

#[test]
fn a_statement_whose_client_has_gone_still_runs() {
    let (mut bench, first, second) = bench();
    bench.start(&first, "UPDATE account SET coins = 0 WHERE id = 1");
    bench.request(
        &first,
        ClientRequest::Close {
            connection: first.number,
        },
    );
    bench.advance_millis(5);
    assert_eq!(
        bench.rows(&second, "SELECT coins FROM account WHERE id = 1"),
        ["0"]
    );
}

#[test]
fn a_cancelled_statement_does_nothing() {
    let (mut bench, first, second) = bench();
    let running = bench.start(&first, "UPDATE account SET coins = 0");
    bench.request(
        &second,
        ClientRequest::Cancel {
            connection: first.number,
        },
    );
    assert_eq!(bench.finish(running).unwrap_err(), SqlError::Cancelled);
    assert_eq!(bench.rows(&first, "SELECT SUM(coins) FROM account"), ["30"]);
}

#[test]
fn timeouts_end_statements_and_sessions() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "SET statement_timeout = 20");
    let cut = bench.run(&first, "SELECT pg_sleep(5)");
    assert_eq!(cut.unwrap_err(), SqlError::StatementTimeout);
    bench.done(&first, "SET idle_session_timeout = '40ms'");
    bench.advance_millis(100);
    assert_eq!(bench.ended_with(&first), Some(SqlError::IdleSessionTimeout));
    bench.done(&second, "SET idle_in_transaction_session_timeout = 30");
    bench.done(&second, "BEGIN");
    bench.advance_millis(31);
    assert_eq!(
        bench.ended_with(&second),
        Some(SqlError::IdleInTransactionTimeout)
    );
}

#[test]
fn advisory_locks_belong_to_sessions() {
    let (mut bench, first, second) = bench();
    let take = "SELECT pg_try_advisory_lock(4, 2)";
    assert_eq!(bench.rows(&first, take), ["t"]);
    assert_eq!(bench.rows(&second, take), ["f"]);
    assert_eq!(
        bench.rows(&second, "SELECT pg_advisory_unlock(4, 2)"),
        ["f"]
    );
    bench.request(
        &first,
        ClientRequest::Close {
            connection: first.number,
        },
    );
    assert_eq!(bench.rows(&second, take), ["t"]);
}

#[test]
fn another_connection_can_be_found_and_terminated() {
    let (mut bench, first, second) = bench();
    bench.done(&first, "SET application_name = 'owner of a'");
    let found = "SELECT pid FROM pg_stat_activity WHERE application_name = 'owner of a'";
    let process = bench.rows(&second, found);
    let own = bench.rows(&first, "SELECT pg_backend_pid()");
    assert_eq!(process, own);
    let kill = format!("SELECT pg_terminate_backend({})", own[0]);
    assert_eq!(bench.rows(&second, &kill), ["t"]);
    assert_eq!(bench.ended_with(&first), Some(SqlError::Terminated));
}

#[test]
fn a_connection_may_terminate_itself() {
    let (mut bench, first, second) = bench();
    let own = bench.rows(&first, "SELECT pg_backend_pid()");
    bench.start(&first, &format!("SELECT pg_terminate_backend({})", own[0]));
    bench.advance_millis(5);
    assert_eq!(bench.ended_with(&first), Some(SqlError::Terminated));
    assert_eq!(
        bench.rows(&second, "SELECT COUNT(*) FROM pg_stat_activity"),
        ["1"]
    );
}

#[test]
fn a_lost_reply_comes_after_the_commit() {
    let (mut bench, first, second) = bench();
    bench.fault(Fault::LoseNextReply {
        member: first.member.clone(),
    });
    bench.done(&second, "SELECT COUNT(*) FROM account");
    let write = bench.start(&first, "UPDATE account SET coins = 0 WHERE id = 1");
    bench.advance_millis(5);
    assert!(bench.result(write).is_none());
    assert!(bench.was_reset(&first));
    assert_eq!(
        bench.rows(&second, "SELECT coins FROM account WHERE id = 1"),
        ["0"]
    );
}

#[test]
fn connections_and_slots_are_limited() {
    let members = member_names(1);
    let mut config = group_config(&members);
    config.members[0].connection_limit = 2;
    config.members[0].slots = 1;
    let mut bench = Bench::new(&config, 1);
    let first = bench.open(&members[0]);
    let second = bench.open(&members[0]);
    let third = bench.start_open(&members[0]);
    bench.advance_millis(20);
    assert_eq!(bench.ended_with(&third), Some(SqlError::TooManyConnections));
    let long = bench.start(&first, "SELECT pg_sleep(0.1)");
    let queued = bench.start(&second, "SELECT 1");
    bench.advance_millis(90);
    assert!(bench.result(queued).is_none(), "the only slot is taken");
    bench.finish(long).unwrap();
    bench.finish(queued).unwrap();
}

#[test]
fn settings_follow_transactions() {
    let (mut bench, first, _) = bench();
    bench.done(&first, "SET stairward.region = 'kul'");
    bench.done(&first, "BEGIN");
    bench.done(&first, "SET LOCAL stairward.region = 'sgp'");
    assert_eq!(bench.rows(&first, "SHOW stairward.region"), ["sgp"]);
    bench.done(&first, "COMMIT");
    assert_eq!(
        bench.rows(&first, "SELECT current_setting('stairward.region')"),
        ["kul"]
    );
    bench.done(&first, "BEGIN");
    bench.done(&first, "SET timezone = 'Asia/Kuala_Lumpur'");
    let back = bench.done(&first, "ROLLBACK");
    assert_eq!(
        back.reported_settings,
        [("TimeZone".to_owned(), "UTC".to_owned())]
    );
    bench.done(&first, "RESET ALL");
    bench.run(&first, "SHOW stairward.region").unwrap_err();
}

#[test]
fn queries_filter_order_and_count() {
    let (mut bench, first, _) = bench();
    bench.done(
        &first,
        "CREATE TABLE page (comic text, number int, title text, PRIMARY KEY (comic, number))",
    );
    bench.done(
        &first,
        "INSERT INTO page (comic, number, title) VALUES ('b', 1, NULL), ('a', 2, 'x'), ('a', 1, 'y')",
    );
    let ordered =
        "SELECT number, title FROM page WHERE comic IN ('a', 'c') ORDER BY number DESC LIMIT 5";
    assert_eq!(bench.rows(&first, ordered), ["2|x", "1|y"]);
    let unnamed =
        "SELECT comic FROM page WHERE title IS NULL OR (number >= 2 AND title <> 'y') ORDER BY 1";
    assert_eq!(bench.rows(&first, unnamed), ["a", "b"]);
    let totals =
        "SELECT COUNT(*), COUNT(title), MAX(number), COALESCE(SUM(number), 0) + 1 FROM page";
    assert_eq!(bench.rows(&first, totals), ["3|2|2|5"]);
    let branch = "SELECT CASE WHEN pg_is_in_recovery() THEN 'replica' ELSE 'primary' END AS role";
    assert_eq!(bench.rows(&first, branch), ["primary"]);
    let series = "SELECT COUNT(*) FROM generate_series(1, 5000) AS n WHERE n > 4000";
    assert_eq!(bench.rows(&first, series), ["1000"]);
}

#[test]
fn every_statement_is_reported_with_its_comment() {
    let (mut bench, first, _) = bench();
    bench.done(&first, "SELECT 1 /*request='r-17'*/");
    let reported = bench.truths.iter().any(|truth| {
        matches!(
            &truth.observation,
            Observation::StatementRan { sql, .. } if sql.contains("request='r-17'")
        )
    });
    assert!(reported);
}

#[test]
fn timeouts_count_from_the_last_use() {
    let (mut bench, first, _) = bench();
    bench.done(&first, "SET idle_session_timeout = 50");
    bench.done(&first, "SET statement_timeout = 30");
    for _ in 0..10 {
        bench.advance_millis(40);
        bench.done(&first, "SELECT 1");
    }
    assert_eq!(bench.ended_with(&first), None);
    let cut = bench.run(&first, "SELECT pg_sleep(1)");
    assert_eq!(cut.unwrap_err(), SqlError::StatementTimeout);
    bench.advance_millis(49);
    assert_eq!(bench.ended_with(&first), None);
    bench.advance_millis(2);
    assert_eq!(bench.ended_with(&first), Some(SqlError::IdleSessionTimeout));
}
