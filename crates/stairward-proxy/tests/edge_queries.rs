//! Simple and extended queries through an edge, sent by an independent client library
//! (`tokio-postgres`).

mod edge_support;

use edge_support::{Site, result_code, simple_value, with_timeout};
use futures::{StreamExt as _, TryStreamExt as _};
use stairward_types::ResultCode;

#[tokio::test(flavor = "multi_thread")]
async fn a_simple_query_is_answered() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.node().connect().await;
        assert_eq!(
            simple_value(&client, "SELECT 1").await.as_deref(),
            Some("1")
        );
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_written_row_is_read_back() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        for id in 0..20 {
            let title = format!("volume {id}");
            client
                .execute(
                    "INSERT INTO books (id, title) VALUES ($1, $2)",
                    &[&id, &title],
                )
                .await
                .unwrap();
            let row = client
                .query_one("SELECT title FROM books WHERE id = $1", &[&id])
                .await
                .unwrap();
            assert_eq!(row.get::<_, String>(0), title);
        }
        let statistics = site.node().edge.statistics();
        assert_eq!(statistics.sessions, 1);
        assert!(statistics.writes >= 20, "{statistics:?}");
        assert!(statistics.reads >= 20, "{statistics:?}");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_are_served_by_replicas() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let replica_reads = || site.node().edge.statistics().replica_reads;
        // The replicas must first catch up with the session's own write.
        while replica_reads() == 0 {
            simple_value(&client, "SELECT id FROM books").await;
        }
        let before = replica_reads();
        for _ in 0..50 {
            simple_value(&client, "SELECT id FROM books").await;
        }
        let served = replica_reads() - before;
        assert!(served >= 48, "{served} of 50");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn named_statements_work_on_every_backend() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let insert = client
            .prepare("INSERT INTO books (id, title) VALUES ($1, $2)")
            .await
            .unwrap();
        let select = client
            .prepare("SELECT title FROM books WHERE id = $1")
            .await
            .unwrap();
        for id in 0..30 {
            client.execute(&insert, &[&id, &"x"]).await.unwrap();
            assert_eq!(client.query(&select, &[&id]).await.unwrap().len(), 1);
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_statements_are_answered_in_order() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let statement = client.prepare("SELECT $1::int4").await.unwrap();
        let requests: Vec<i32> = (0..100).collect();
        let answers: Vec<i32> = futures::stream::iter(requests.clone())
            .map(|number| {
                let (client, statement) = (&client, &statement);
                async move {
                    let row = client.query_one(statement, &[&number]).await.unwrap();
                    row.get::<_, i32>(0)
                }
            })
            .buffered(20)
            .collect()
            .await;
        assert_eq!(answers, requests);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_error_leaves_the_session_usable() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.node().connect().await;
        let error = client
            .query("SELECT * FROM nowhere", &[])
            .await
            .unwrap_err();
        assert_eq!(error.code().unwrap().code(), "42P01");
        assert_eq!(
            simple_value(&client, "SELECT 2").await.as_deref(),
            Some("2")
        );
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_result_is_complete() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let title = "t".repeat(2_000);
        for batch in 0..10 {
            let rows: Vec<String> = (0..50)
                .map(|offset| format!("({}, '{title}')", batch * 50 + offset))
                .collect();
            let text = format!("INSERT INTO books (id, title) VALUES {}", rows.join(", "));
            client.batch_execute(&text).await.unwrap();
        }
        let rows: Vec<_> = client
            .query_raw("SELECT id, title FROM books ORDER BY id", &[] as &[&str])
            .await
            .unwrap()
            .try_collect()
            .await
            .unwrap();
        let numbers: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(numbers, (0..500).collect::<Vec<_>>());
        assert!(rows.iter().all(|row| row.get::<_, &str>(1) == title));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn session_bound_features_are_refused() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.node().connect().await;
        for text in [
            "COPY books FROM STDIN",
            "LISTEN news",
            "CREATE TEMP TABLE scratch (id integer)",
            "SELECT pg_advisory_lock(1)",
            "SET ROLE admin",
        ] {
            let error = client.batch_execute(text).await.unwrap_err();
            let expected = Some(ResultCode::FeatureRefused.number());
            assert_eq!(result_code(&error), expected, "{text}");
            let detail = error.as_db_error().unwrap().detail().unwrap();
            assert_eq!(detail, "outcome=not run");
        }
        assert_eq!(
            simple_value(&client, "SELECT 3").await.as_deref(),
            Some("3")
        );
    })
    .await;
}
