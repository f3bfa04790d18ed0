//! Transactions, session settings and failover as seen by clients.

mod edge_support;

use edge_support::{Site, result_code, simple_value, with_timeout};
use stairward_standins::group::Fault;
use stairward_types::ResultCode;
use tokio_postgres::Client;

async fn count(client: &Client) -> String {
    let counted = simple_value(client, "SELECT count(*) FROM books").await;
    counted.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn commit_keeps_and_rollback_discards_changes() {
    with_timeout(async {
        let site = Site::start().await;
        let mut client = site.connect_with_table().await;
        let transaction = client.transaction().await.unwrap();
        transaction
            .execute("INSERT INTO books (id, title) VALUES (1, 'kept')", &[])
            .await
            .unwrap();
        transaction.commit().await.unwrap();
        let transaction = client.transaction().await.unwrap();
        transaction
            .execute("INSERT INTO books (id, title) VALUES (2, 'dropped')", &[])
            .await
            .unwrap();
        transaction.rollback().await.unwrap();
        assert_eq!(count(&client).await, "1");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn transactions_of_two_sessions_do_not_mix() {
    with_timeout(async {
        let site = Site::start().await;
        let first = site.connect_with_table().await;
        let second = site.node().connect().await;
        first.batch_execute("BEGIN").await.unwrap();
        second.batch_execute("BEGIN").await.unwrap();
        first
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'first')")
            .await
            .unwrap();
        second
            .batch_execute("INSERT INTO books (id, title) VALUES (2, 'second')")
            .await
            .unwrap();
        first.batch_execute("ROLLBACK").await.unwrap();
        second.batch_execute("COMMIT").await.unwrap();
        let title = simple_value(&second, "SELECT title FROM books").await;
        assert_eq!(title.as_deref(), Some("second"));
        assert_eq!(count(&first).await, "1");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_transaction_refuses_statements_until_it_ends() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client.batch_execute("BEGIN").await.unwrap();
        client
            .batch_execute("SELECT * FROM nowhere")
            .await
            .unwrap_err();
        let error = client.batch_execute("SELECT 1").await.unwrap_err();
        assert_eq!(error.code().unwrap().code(), "25P02");
        client.batch_execute("ROLLBACK").await.unwrap();
        assert_eq!(count(&client).await, "0");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_only_transaction_runs_on_a_replica() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        // The replicas must first catch up with the session's own write.
        loop {
            client.batch_execute("BEGIN READ ONLY").await.unwrap();
            let recovering = simple_value(&client, "SELECT pg_is_in_recovery()").await;
            client.batch_execute("COMMIT").await.unwrap();
            if recovering.as_deref() == Some("t") {
                return;
            }
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_statement_aborts_its_transaction() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client.batch_execute("BEGIN").await.unwrap();
        client
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
            .await
            .unwrap();
        client.batch_execute("LISTEN news").await.unwrap_err();
        let error = client.batch_execute("SELECT 1").await.unwrap_err();
        let expected = Some(ResultCode::StaleTransaction.number());
        assert_eq!(result_code(&error), expected);
        // As in PostgreSQL, COMMIT of a failed transaction rolls it back.
        client.batch_execute("COMMIT").await.unwrap();
        assert_eq!(count(&client).await, "0");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn session_settings_apply_on_every_backend() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client
            .batch_execute("SET statement_timeout = '7s'")
            .await
            .unwrap();
        for round in 0..10 {
            client
                .batch_execute(&format!(
                    "INSERT INTO books (id, title) VALUES ({round}, 'x')"
                ))
                .await
                .unwrap();
            let shown = simple_value(&client, "SHOW statement_timeout").await;
            assert_eq!(shown.as_deref(), Some("7s"));
        }
        let other = site.node().connect().await;
        let shown = simple_value(&other, "SHOW statement_timeout").await;
        assert_ne!(shown.as_deref(), Some("7s"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_setting_is_rolled_back_with_its_transaction() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client
            .batch_execute("SET statement_timeout = '7s'")
            .await
            .unwrap();
        client.batch_execute("BEGIN").await.unwrap();
        client
            .batch_execute("SET statement_timeout = '9s'")
            .await
            .unwrap();
        client.batch_execute("ROLLBACK").await.unwrap();
        let shown = simple_value(&client, "SHOW statement_timeout").await;
        assert_eq!(shown.as_deref(), Some("7s"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn a_lost_transaction_is_reported_once_without_ending_the_session() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client.batch_execute("BEGIN").await.unwrap();
        client
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'lost')")
            .await
            .unwrap();
        let primary = site.databases.primary().await.unwrap();
        site.databases.inject(Fault::Stop { member: primary });
        let error = client
            .batch_execute("INSERT INTO books (id, title) VALUES (2, 'lost too')")
            .await
            .unwrap_err();
        let expected = Some(ResultCode::TransactionLost.number());
        assert_eq!(result_code(&error), expected);
        assert_eq!(error.code().unwrap().code(), "40001");
        let error = client.batch_execute("SELECT 1").await.unwrap_err();
        let expected = Some(ResultCode::StaleTransaction.number());
        assert_eq!(result_code(&error), expected);
        client.batch_execute("ROLLBACK").await.unwrap();
        client
            .batch_execute("INSERT INTO books (id, title) VALUES (3, 'kept')")
            .await
            .unwrap();
        assert_eq!(count(&client).await, "1");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn a_write_waits_for_the_next_primary() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let primary = site.databases.primary().await.unwrap();
        site.databases.inject(Fault::Stop { member: primary });
        // The first write may be sent on the lost connection and end with an unknown outcome; later
        // writes wait for the new primary.
        let first = client
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
            .await;
        if let Err(error) = &first {
            let code = result_code(error)
                .and_then(ResultCode::from_number)
                .unwrap();
            assert_eq!(code, ResultCode::BackendLostAfterSend);
        }
        client
            .batch_execute("INSERT INTO books (id, title) VALUES (2, 'y')")
            .await
            .unwrap();
        let title = simple_value(&client, "SELECT title FROM books WHERE id = 2").await;
        assert_eq!(title.as_deref(), Some("y"));
    })
    .await;
}
