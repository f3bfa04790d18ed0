//! Cancel requests, draining and changed settings.

mod edge_support;

use std::time::Duration;

use edge_support::raw::{RawClient, query};
use edge_support::scripted::ScriptedSite;
use edge_support::{Site, TEST_TIMEOUT, simple_value, token_key, with_timeout};
use stairward_proxy::edge::EdgeSettings;
use stairward_standins::group::Fault;
use stairward_types::{AdminState, BackendId, Revision};
use tokio_postgres::{Client, NoTls};

const UPDATE: &str = "UPDATE books SET title = 'y' WHERE id = 1";

/// Delays every statement on every backend by `added`.
fn delay_statements(site: &Site, added: Duration) {
    for member in edge_support::backend_names() {
        site.databases.inject(Fault::Slow { member, added });
    }
}

/// Waits until the edge has received another statement than the `before` counted so far.
async fn wait_for_next_statement(site: &Site, before: u64) {
    while site.node().edge.statistics().statements <= before {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Opens a transaction that holds a row lock in `books`, so that updates of the row wait.
async fn lock_row(site: &Site) -> Client {
    let holder = site.connect_with_table().await;
    holder
        .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
        .await
        .unwrap();
    holder.batch_execute("BEGIN").await.unwrap();
    holder.batch_execute(UPDATE).await.unwrap();
    holder
}

/// Runs a statement that blocks, cancels it through the given proxy and checks its SQLSTATE.
async fn run_and_cancel_query(site: &Site, client: &Client, proxy: usize) {
    let before = site.node().edge.statistics().statements;
    let token = client.cancel_token();
    let query = client.batch_execute(UPDATE);
    let cancel = async {
        wait_for_next_statement(site, before).await;
        // Repeated, since the statement may not have reached its backend yet.
        loop {
            let socket = tokio::net::TcpStream::connect(site.nodes[proxy].address)
                .await
                .unwrap();
            let _ = token.cancel_query_raw(socket, NoTls).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::select! {
        result = query => result,
        () = cancel => unreachable!("the loop never ends"),
    };
    let code = result.unwrap_err().code().unwrap().clone();
    assert_eq!(code.code(), "57014");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_statement_ends_neither_its_session_nor_other_statements() {
    with_timeout(async {
        let site = Site::start().await;
        let holder = lock_row(&site).await;
        let client = site.node().connect().await;
        let bystander = site.node().connect().await;
        let waiting = tokio::spawn(async move { bystander.batch_execute(UPDATE).await });
        run_and_cancel_query(&site, &client, 0).await;
        holder.batch_execute("COMMIT").await.unwrap();
        let other = waiting.await.unwrap();
        other.expect("the statement of another session is not cancelled");
        // The last cancel request may still arrive and cancel this statement.
        while client.batch_execute("SELECT 3").await.is_err() {}
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_is_forwarded_to_the_proxy_of_its_session() {
    with_timeout(async {
        let site = Site::start_with(2, &EdgeSettings::with_trust_authentication(token_key())).await;
        let _holder = lock_row(&site).await;
        let client = site.node().connect().await;
        run_and_cancel_query(&site, &client, 1).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_cancel_request_does_not_cancel_the_next_statement() {
    with_timeout(async {
        let site = Site::start().await;
        let mut client = RawClient::connect(site.node().address).await;
        assert_eq!(client.request(&[query("SELECT 1")]).await, "TDCZ");
        client.cancel(site.node().address).await;
        assert_eq!(client.request(&[query("SELECT 2")]).await, "TDCZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guessed_key_cancels_nothing() {
    with_timeout(async {
        let site = Site::start().await;
        let mut client = RawClient::connect(site.node().address).await;
        delay_statements(&site, Duration::from_millis(200));
        let before = site.node().edge.statistics().statements;
        client.send(&[query("SELECT 1")]).await;
        wait_for_next_statement(&site, before).await;
        // The correct process number with a wrong secret.
        let valid_key = client.key.clone();
        client.key[7] ^= 1;
        client.cancel(site.node().address).await;
        client.key = valid_key;
        assert_eq!(client.response_types_until(b'Z').await, "TDCZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_does_not_interrupt_statements_or_transactions() {
    with_timeout(async {
        let mut site = Site::start().await;
        let writer = site.connect_with_table().await;
        let in_transaction = site.node().connect().await;
        let (idle, idle_connection) = site.node().config().connect(NoTls).await.unwrap();
        let idle_result = tokio::spawn(idle_connection);
        in_transaction.batch_execute("BEGIN").await.unwrap();
        delay_statements(&site, Duration::from_millis(300));
        let before = site.node().edge.statistics().statements;
        let running = tokio::spawn(async move {
            let inserted = writer
                .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
                .await;
            (writer, inserted)
        });
        wait_for_next_statement(&site, before).await;
        let edge = std::sync::Arc::clone(&site.node().edge);
        let drained = tokio::spawn(async move { edge.drain(TEST_TIMEOUT).await });

        let end = idle_result.await.unwrap().unwrap_err();
        assert_eq!(end.code().unwrap().code(), "57P01", "{end:?}");
        drop(idle);
        let (_busy, inserted) = running.await.unwrap();
        inserted.expect("a running statement completes");
        let Err(refused) = site.node().config().connect(NoTls).await else {
            panic!("a new session was accepted");
        };
        assert_eq!(refused.code().unwrap().code(), "57P01");
        in_transaction
            .batch_execute("INSERT INTO books (id, title) VALUES (2, 'y')")
            .await
            .expect("an open transaction continues");
        in_transaction.batch_execute("COMMIT").await.unwrap();
        assert!(drained.await.unwrap());
        site.nodes.remove(0).wait_until_stopped().await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_before_a_drain_is_answered() {
    with_timeout(async {
        let site = ScriptedSite::start().await;
        let mut clients = Vec::new();
        for _ in 0..50 {
            clients.push(RawClient::connect(site.address).await);
        }
        for client in &mut clients {
            client.send(&[query("SELECT 1")]).await;
        }
        let edge = std::sync::Arc::clone(&site.edge);
        let drained = tokio::spawn(async move { edge.drain(TEST_TIMEOUT).await });
        for client in &mut clients {
            assert_eq!(client.response_types_until(b'Z').await, "CZ");
            let (tag, body) = client.next().await;
            assert_eq!(tag, b'E');
            assert!(String::from_utf8_lossy(&body).contains("57P01"));
        }
        drop(clients);
        assert!(drained.await.unwrap());
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_setting_applies_to_the_next_request() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let primary = site.databases.primary().await.unwrap();
        let mut settings = site.settings.clone();
        settings.revision = Revision(2);
        for group in settings.groups.values_mut() {
            for backend in group.backends.values_mut() {
                if backend.backend != primary {
                    backend.admin_state = AdminState::Leaving;
                }
            }
        }
        assert!(site.node().cluster.apply_settings(settings));
        let before = site.node().edge.statistics();
        for _ in 0..20 {
            simple_value(&client, "SELECT id FROM books").await;
        }
        let after = site.node().edge.statistics();
        assert_eq!(after.reads - before.reads, 20);
        assert_eq!(after.replica_reads, before.replica_reads);
        assert!(BackendId::new("a").is_ok_and(|first| first == primary));
    })
    .await;
}
