//! The TCP server, spoken to with `tokio-postgres`.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use stairward_standins::group::Fault;
use stairward_standins::server::{DatabaseGroup, DatabaseGroupConfig};
use stairward_standins::{GroundTruth, Observation};
use support::{connect, connection_config, group_config, member_names, start_group};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

const SLOTS: &str = "CREATE TABLE slot (id int PRIMARY KEY, donor bigint, note text, open bool)";

fn code(error: &Error) -> &SqlState {
    error.code().expect("an error of the server")
}

fn simple_rows(messages: &[SimpleQueryMessage]) -> Vec<String> {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("NULL").to_owned()),
        _ => None,
    });
    rows.collect()
}

/// Waits for something that happens soon; the limit only guards against hanging.
async fn eventually<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), wait)
        .await
        .expect("it never happened");
}

#[tokio::test]
async fn simple_queries_run_as_one_transaction() {
    let (group, members) = start_group(1).await;
    let client = connect(&group, &members[0]).await;
    client.batch_execute(SLOTS).await.unwrap();
    let failed = client
        .batch_execute("INSERT INTO slot (id) VALUES (1); INSERT INTO slot (id) VALUES (1);")
        .await
        .unwrap_err();
    assert_eq!(*code(&failed), SqlState::UNIQUE_VIOLATION);
    client
        .batch_execute(
            "INSERT INTO slot (id) VALUES (2); INSERT INTO slot (id, note) VALUES (3, 'x; y');",
        )
        .await
        .unwrap();
    let messages = client
        .simple_query("SELECT id FROM slot; SELECT note FROM slot")
        .await;
    assert_eq!(simple_rows(&messages.unwrap()), ["2", "3", "NULL", "x; y"]);
    group.shutdown().await;
}

#[tokio::test]
async fn values_travel_typed_both_ways() {
    let (group, members) = start_group(1).await;
    let client = connect(&group, &members[0]).await;
    client.batch_execute(SLOTS).await.unwrap();
    let insert = "INSERT INTO slot (id, donor, note, open) VALUES ($1, $2, $3, $4)";
    let none: Option<&str> = None;
    client
        .execute(insert, &[&7_i32, &70_i64, &"first", &true])
        .await
        .unwrap();
    client
        .execute(insert, &[&8_i32, &-1_i64, &none, &false])
        .await
        .unwrap();
    let row = client
        .query_one("SELECT * FROM slot WHERE id = $1", &[&7_i32])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>("donor"), 70);
    assert_eq!(row.get::<_, &str>("note"), "first");
    assert!(row.get::<_, bool>("open"));
    let sql = "UPDATE slot SET donor = donor + $1 WHERE note IS NULL AND id IN ($2, 9) RETURNING donor, note";
    let row = client.query_one(sql, &[&2_i64, &8_i32]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, Option<&str>>(1), None);
    let row = client
        .query_one("SELECT $1::int8 AS number, $2 AS word, 1", &[&5_i64, &"w"])
        .await;
    let row = row.unwrap();
    assert_eq!((row.get(0), row.get(1), row.get(2)), (5_i64, "w", 1_i32));
    group.shutdown().await;
}

#[tokio::test]
async fn a_portal_gives_its_rows_in_parts() {
    let (group, members) = start_group(1).await;
    let mut client = connect(&group, &members[0]).await;
    let transaction = client.transaction().await.unwrap();
    let portal = transaction
        .bind("SELECT generate_series FROM generate_series(1, 5)", &[])
        .await
        .unwrap();
    let mut parts = Vec::new();
    for _ in 0..3 {
        let rows = transaction.query_portal(&portal, 2).await.unwrap();
        parts.push(
            rows.iter()
                .map(|row| row.get::<_, i64>(0))
                .collect::<Vec<_>>(),
        );
    }
    assert_eq!(parts, [vec![1, 2], vec![3, 4], vec![5]]);
    transaction.commit().await.unwrap();
    group.shutdown().await;
}

#[tokio::test]
async fn an_error_fails_the_block_until_rollback() {
    let (group, members) = start_group(1).await;
    let mut client = connect(&group, &members[0]).await;
    client.batch_execute(SLOTS).await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO slot (id) VALUES (1)", &[])
        .await
        .unwrap();
    let unknown = transaction
        .query("SELECT * FROM nowhere", &[])
        .await
        .unwrap_err();
    assert_eq!(*code(&unknown), SqlState::UNDEFINED_TABLE);
    let ignored = transaction.batch_execute("SELECT 1").await.unwrap_err();
    assert_eq!(*code(&ignored), SqlState::IN_FAILED_SQL_TRANSACTION);
    transaction.rollback().await.unwrap();
    assert!(
        client
            .query("SELECT id FROM slot", &[])
            .await
            .unwrap()
            .is_empty()
    );
    let syntax = client.batch_execute("SELEKT").await.unwrap_err();
    assert_eq!(*code(&syntax), SqlState::SYNTAX_ERROR);
    client.batch_execute("SELECT 1").await.unwrap();
    group.shutdown().await;
}

#[tokio::test]
async fn pipelined_statements_of_one_client_keep_their_answers() {
    let (group, members) = start_group(1).await;
    let client = connect(&group, &members[0]).await;
    let statement = client.prepare("SELECT $1::int4").await.unwrap();
    let queries = (0..100_i32).map(|number| {
        let (client, statement) = (&client, &statement);
        async move {
            let row = client.query_one(statement, &[&number]).await.unwrap();
            assert_eq!(row.get::<_, i32>(0), number);
        }
    });
    futures::future::join_all(queries).await;
    group.shutdown().await;
}

#[tokio::test]
async fn large_results_arrive_whole() {
    let (group, members) = start_group(1).await;
    let client = connect(&group, &members[0]).await;
    let sql = "SELECT n, repeat('x', 100) FROM generate_series(1, 50000) AS n";
    let rows = client.query(sql, &[]).await.unwrap();
    assert_eq!(rows.len(), 50_000);
    assert!(
        rows.iter()
            .zip(1_i64..)
            .all(|(row, number)| row.get::<_, i64>(0) == number)
    );
    group.shutdown().await;
}

#[tokio::test]
async fn a_cancel_request_stops_only_its_statement() {
    let (group, members) = start_group(1).await;
    let client = connect(&group, &members[0]).await;
    let other = connect(&group, &members[0]).await;
    let token = client.cancel_token();
    let other_sleep =
        tokio::spawn(async move { other.batch_execute("SELECT pg_sleep(0.3)").await });
    let sleep = client.batch_execute("SELECT pg_sleep(600)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        token.cancel_query(NoTls).await.unwrap();
    };
    let (cancelled, ()) = tokio::join!(sleep, cancel);
    assert_eq!(*code(&cancelled.unwrap_err()), SqlState::QUERY_CANCELED);
    other_sleep.await.unwrap().unwrap();
    client.batch_execute("SELECT 1").await.unwrap();
    group.shutdown().await;
}

async fn refused_with(client: Result<Client, Error>) -> SqlState {
    match client {
        Ok(_) => panic!("the connection was accepted"),
        Err(error) => code(&error).clone(),
    }
}

async fn try_connect(config: &tokio_postgres::Config) -> Result<Client, Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

#[tokio::test]
async fn connections_beyond_the_limit_and_to_unknown_databases_are_refused() {
    let members = member_names(1);
    let mut config = group_config(&members);
    config.members[0].connection_limit = 1;
    let group = DatabaseGroup::start(DatabaseGroupConfig::new(config))
        .await
        .unwrap();
    let mut wanted = connection_config(&group, &members[0]);
    let first = try_connect(&wanted).await.unwrap();
    let refused = refused_with(try_connect(&wanted).await).await;
    assert_eq!(refused, SqlState::TOO_MANY_CONNECTIONS);
    drop(first);
    eventually(|| async { try_connect(&wanted).await.is_ok() }).await;
    wanted.dbname("elsewhere");
    let refused = refused_with(try_connect(&wanted).await).await;
    assert_eq!(refused, SqlState::UNDEFINED_DATABASE);
    group.shutdown().await;
}

#[tokio::test]
async fn startup_settings_are_kept() {
    let (group, members) = start_group(1).await;
    let mut config = connection_config(&group, &members[0]);
    config
        .application_name("owner")
        .options("-c stairward.hint=a\\ b -c statement_timeout=5s");
    let client = try_connect(&config).await.unwrap();
    for (name, value) in [
        ("application_name", "owner"),
        ("stairward.hint", "a b"),
        ("statement_timeout", "5s"),
    ] {
        let shown = client.simple_query(&format!("SHOW {name}")).await.unwrap();
        assert_eq!(simple_rows(&shown), [value], "{name}");
    }
    group.shutdown().await;
}

#[tokio::test]
async fn a_stopped_member_drops_its_clients_and_refuses_new_ones() {
    let (group, members) = start_group(3).await;
    let client = connect(&group, &members[0]).await;
    client.batch_execute(SLOTS).await.unwrap();
    group.inject(Fault::Stop {
        member: members[0].clone(),
    });
    let lost = client.batch_execute("SELECT 1").await.unwrap_err();
    assert!(lost.code().is_none(), "a crash sends no message: {lost}");
    let config = connection_config(&group, &members[0]);
    eventually(|| async { try_connect(&config).await.is_err() }).await;
    eventually(|| async { group.primary().await.is_some() }).await;
    let primary = group.primary().await.unwrap();
    assert_ne!(primary, members[0]);
    let client = connect(&group, &primary).await;
    client
        .batch_execute("INSERT INTO slot (id) VALUES (1)")
        .await
        .unwrap();
    group.inject(Fault::Heal {
        member: members[0].clone(),
    });
    eventually(|| async {
        let Ok(client) = try_connect(&config).await else {
            return false;
        };
        let rows = client.simple_query("SELECT id FROM slot").await;
        rows.is_ok_and(|messages| simple_rows(&messages) == ["1"])
    })
    .await;
    group.shutdown().await;
}

#[tokio::test]
async fn the_observer_sees_what_ran_also_when_the_client_has_gone() {
    let members = member_names(1);
    let mut config = DatabaseGroupConfig::new(group_config(&members));
    let truths: Arc<Mutex<Vec<GroundTruth>>> = Arc::default();
    let sink = Arc::clone(&truths);
    config.observer = Some(Arc::new(move |truth| sink.lock().unwrap().push(truth)));
    let group = DatabaseGroup::start(config).await.unwrap();
    let client = connect(&group, &members[0]).await;
    client.batch_execute(SLOTS).await.unwrap();
    let write = client.batch_execute("INSERT INTO slot SELECT 1 /*key='k1'*/");
    drop(tokio::time::timeout(Duration::from_micros(1), write).await);
    drop(client);
    let happened = |wanted: &dyn Fn(&Observation) -> bool| {
        let truths = truths.lock().unwrap();
        truths.iter().any(|truth| wanted(&truth.observation))
    };
    eventually(|| async {
        happened(&|seen| {
            matches!(seen, Observation::StatementRan { sql, .. } if sql.contains("key='k1'"))
        }) && happened(&|seen| matches!(seen, Observation::ConnectionClosed { .. }))
    })
    .await;
    group.shutdown().await;
}
