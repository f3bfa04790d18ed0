//! Classification of statements.

use stairward_session::{
    ClassCache, SessionChange, TransactionEnd, TransactionStart, UnsupportedFeature, classify,
};
use stairward_types::AccessClass;

#[test]
fn reads_are_not_classified_as_writes() {
    for text in [
        "SELECT 1",
        "SELECT count(*), max(id) FROM books WHERE title LIKE 'a%' GROUP BY shelf ORDER BY 1",
        "WITH recent AS (SELECT id FROM books) SELECT * FROM recent JOIN shelves USING (id)",
        "SELECT * FROM generate_series(1, 3)",
        "SELECT pg_catalog.version()",
        "VALUES (1), (2)",
        "SHOW server_version",
        "SHOW TRANSACTION ISOLATION LEVEL",
        "EXPLAIN DELETE FROM books",
        "SELECT 1; SELECT 2",
        "",
        "-- nothing",
    ] {
        assert_eq!(classify(text).access, AccessClass::Read, "{text}");
    }
}

#[test]
fn writes_locks_and_unknown_statements_are_classified_as_writes() {
    for text in [
        "INSERT INTO books VALUES (1)",
        "UPDATE books SET title = 'x'",
        "DELETE FROM books",
        "CREATE TABLE books (id integer)",
        "SELECT * FROM books FOR UPDATE",
        "SELECT * FROM (SELECT * FROM books FOR SHARE) AS locked",
        "SELECT nextval('ids')",
        "SELECT setval('ids', 1)",
        "SELECT id FROM books WHERE my_function(id)",
        "SELECT * FROM my_table_function(1)",
        "SELECT * INTO copies FROM books",
        "WITH gone AS (DELETE FROM books RETURNING id) SELECT * FROM gone",
        "EXPLAIN ANALYZE DELETE FROM books",
        "EXPLAIN (ANALYZE, VERBOSE) INSERT INTO books VALUES (1)",
        "SELECT 1; INSERT INTO books VALUES (1)",
        "CALL buy(1)",
        "DO $$ BEGIN END $$",
        "VACUUM",
        "this is not SQL",
        "SELECT 'unfinished",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT set_config('x.y', '1', false)",
    ] {
        assert_eq!(classify(text).access, AccessClass::Write, "{text}");
    }
}

#[test]
fn unsupported_features_are_detected_anywhere_in_a_text() {
    for (text, feature) in [
        ("COPY books FROM STDIN", UnsupportedFeature::Copy),
        ("SELECT 1; COPY books TO STDOUT", UnsupportedFeature::Copy),
        (
            "COPY (SELECT 1) TO STDOUT WITH (WHAT EVER)",
            UnsupportedFeature::Copy,
        ),
        ("LISTEN news", UnsupportedFeature::Listen),
        (
            "CREATE TEMP TABLE t (id integer)",
            UnsupportedFeature::TemporaryObject,
        ),
        (
            "SELECT pg_advisory_lock(1)",
            UnsupportedFeature::AdvisoryLock,
        ),
        (
            "SELECT * FROM books WHERE pg_try_advisory_lock(id)",
            UnsupportedFeature::AdvisoryLock,
        ),
        (
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            UnsupportedFeature::CursorWithHold,
        ),
        ("SET ROLE admin", UnsupportedFeature::RoleChange),
    ] {
        assert_eq!(classify(text).refused, Some(feature), "{text}");
    }
    assert_eq!(classify("SELECT 'COPY'").refused, None);
}

#[test]
fn transaction_state_is_tracked_through_a_text() {
    let begin = classify("BEGIN");
    assert_eq!(begin.leaves_open, Some(TransactionStart::ReadWrite));
    assert!(!begin.may_commit(false));
    let read_only = classify("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY");
    assert_eq!(read_only.leaves_open, Some(TransactionStart::ReadOnly));
    assert_eq!(read_only.access, AccessClass::Read);
    let whole = classify("BEGIN; INSERT INTO books VALUES (1); COMMIT");
    assert_eq!(whole.leaves_open, None);
    assert_eq!(whole.ends, Some(TransactionEnd::Commit));
    assert!(whole.may_commit(false));
    let open = classify("BEGIN; INSERT INTO books VALUES (1)");
    assert!(!open.may_commit(false), "the transaction stays open");
    assert!(classify("INSERT INTO books VALUES (1)").may_commit(false));
    assert!(!classify("INSERT INTO books VALUES (1)").may_commit(true));
    assert!(classify("END").may_commit(true));
    assert_eq!(classify("ROLLBACK TO SAVEPOINT a").ends, None);
    assert_eq!(classify("ABORT").ends, Some(TransactionEnd::Rollback));
}

#[test]
fn session_changes_are_extracted() {
    let set = |name: &str, value: &str, local| SessionChange::Set {
        name: name.to_owned(),
        value: value.to_owned(),
        local,
    };
    for (text, change) in [
        ("SET Work_Mem = '4MB'", set("work_mem", "'4MB'", false)),
        ("SET LOCAL work_mem TO 64", set("work_mem", "64", true)),
        ("SET TIME ZONE 'UTC'", set("timezone", "'UTC'", false)),
        (
            "SET stairward.repeatable = 'on'",
            set("stairward.repeatable", "'on'", false),
        ),
        ("RESET ALL", SessionChange::ResetAll),
        ("DISCARD ALL", SessionChange::DiscardAll),
        ("DEALLOCATE ALL", SessionChange::DeallocateAll),
        (
            "SET work_mem TO DEFAULT",
            SessionChange::Reset {
                name: "work_mem".to_owned(),
            },
        ),
    ] {
        let class = classify(text);
        assert_eq!(class.changes, [change], "{text}");
        assert_eq!(class.access, AccessClass::Read, "{text}");
        assert!(class.alters_session, "{text}");
    }
}

#[test]
fn long_chains_of_operators_do_not_exhaust_the_stack() {
    for text in [
        format!("SELECT {}", vec!["1"; 200_000].join(" + ")),
        format!("SELECT 1 WHERE {}", vec!["a"; 50_000].join(" OR ")),
        format!("SELECT {}1", "NOT ".repeat(50_000)),
        format!("SELECT {}1{}", "(".repeat(50_000), ")".repeat(50_000)),
        vec!["SELECT 1"; 20_000].join(" UNION "),
        format!("SELECT 1{}", "::int".repeat(50_000)),
        format!("SELECT a{}", "[1]".repeat(50_000)),
    ] {
        assert_eq!(classify(&text).access, AccessClass::Write);
    }
}

#[test]
fn classifying_any_text_does_not_panic() {
    stairward_testing::check!()
        .with_type::<String>()
        .for_each(|text| {
            let _ = classify(text);
        });
}

#[test]
fn random_keyword_sequences_starting_with_insert_are_writes() {
    const WORDS: &[&str] = &[
        "SELECT",
        "FROM",
        "(",
        ")",
        ";",
        "COPY",
        "BEGIN",
        "COMMIT",
        "'x",
        "'",
        "a",
        ",",
        "*",
        "INSERT INTO",
        "VALUES",
        "SET",
        "=",
        "/*",
        "*/",
        "$1",
        "$$",
        "WITH",
        "AS",
        "FOR UPDATE",
    ];
    stairward_testing::check!()
        .with_type::<Vec<u8>>()
        .for_each(|choices| {
            let words: Vec<&str> = choices
                .iter()
                .map(|choice| WORDS[usize::from(*choice) % WORDS.len()])
                .collect();
            let class = classify(&words.join(" "));
            let inserts = words.first() == Some(&"INSERT INTO");
            assert!(!inserts || class.access == AccessClass::Write, "{words:?}");
        });
}

#[test]
fn the_cache_is_bounded_and_agrees_with_classify() {
    let mut cache = ClassCache::new(10);
    for number in 0..1_000 {
        let text = format!("SELECT {number}");
        assert_eq!(*cache.classify(&text), classify(&text));
        assert!(cache.len() <= 20);
    }
    let before = cache.len();
    cache.classify("SELECT 1 /*stairward.request_key='k'*/");
    assert_eq!(cache.len(), before, "texts with hints are not cached");
}
