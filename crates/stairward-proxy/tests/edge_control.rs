//! Cancel requests, planned stops and changed settings.

mod edge_support;

use std::time::Duration;

use edge_support::raw::{RawCaller, query};
use edge_support::scripted::ScriptedSite;
use edge_support::{HANG, Site, guarded, simple_value, token_key};
use stairward_proxy::edge::EdgeSettings;
use stairward_standins::group::Fault;
use stairward_types::{AdminState, BackendId, Revision};
use tokio_postgres::{Client, NoTls};

const UPDATE: &str = "UPDATE books SET title = 'y' WHERE id = 1";

/// Makes every statement at every back end take this much longer.
fn slow_down(site: &Site, added: Duration) {
    for member in edge_support::backend_names() {
        site.databases.inject(Fault::Slow { member, added });
    }
}

/// Waits until the edge has received one more statement than before.
async fn one_more_statement(site: &Site, before: u64) {
    while site.node().edge.statistics().statements <= before {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// A transaction that keeps a row of `books` locked, so that updates of it wait.
async fn lock_row(site: &Site) -> Client {
    let holder = site.with_table().await;
    holder
        .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
        .await
        .unwrap();
    holder.batch_execute("BEGIN").await.unwrap();
    holder.batch_execute(UPDATE).await.unwrap();
    holder
}

/// Has a client run a statement that waits, and cancels it through one of the proxies.
async fn cancelled_query(site: &Site, client: &Client, through: usize) {
    let before = site.node().edge.statistics().statements;
    let token = client.cancel_token();
    let query = client.batch_execute(UPDATE);
    let cancel = async {
        one_more_statement(site, before).await;
        // Again and again, since the statement may not have reached its back end yet.
        loop {
            let socket = tokio::net::TcpStream::connect(site.nodes[through].address)
                .await
                .unwrap();
            let _ = token.cancel_query_raw(socket, NoTls).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::select! {
        result = query => result,
        () = cancel => unreachable!("it never ends"),
    };
    let code = result.unwrap_err().code().unwrap().clone();
    assert_eq!(code.code(), "57014");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_statement_is_cancelled_and_the_session_goes_on() {
    guarded(async {
        let site = Site::start().await;
        let holder = lock_row(&site).await;
        let client = site.node().connect().await;
        let bystander = site.node().connect().await;
        let waiting = tokio::spawn(async move { bystander.batch_execute(UPDATE).await });
        cancelled_query(&site, &client, 0).await;
        holder.batch_execute("COMMIT").await.unwrap();
        let other = waiting.await.unwrap();
        other.expect("another session's statement is not hit");
        // The last cancel request may still be on its way.
        while client.batch_execute("SELECT 3").await.is_err() {}
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_finds_its_session_through_another_proxy() {
    guarded(async {
        let site = Site::start_with(2, &EdgeSettings::with_trust_authentication(token_key())).await;
        let _holder = lock_row(&site).await;
        let client = site.node().connect().await;
        cancelled_query(&site, &client, 1).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_does_not_hit_the_next_statement() {
    guarded(async {
        let site = Site::start().await;
        let mut caller = RawCaller::connect(site.node().address).await;
        assert_eq!(caller.ask(&[query("SELECT 1")]).await, "TDCZ");
        caller.cancel(site.node().address).await;
        assert_eq!(caller.ask(&[query("SELECT 2")]).await, "TDCZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guessed_key_cancels_nothing() {
    guarded(async {
        let site = Site::start().await;
        let mut caller = RawCaller::connect(site.node().address).await;
        slow_down(&site, Duration::from_millis(200));
        let before = site.node().edge.statistics().statements;
        caller.send(&[query("SELECT 1")]).await;
        one_more_statement(&site, before).await;
        // The right process number with another secret.
        let right = caller.key.clone();
        caller.key[7] ^= 1;
        caller.cancel(site.node().address).await;
        caller.key = right;
        assert_eq!(caller.answers_until(b'Z').await, "TDCZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_in_flight() {
    guarded(async {
        let mut site = Site::start().await;
        let busy = site.with_table().await;
        let in_transaction = site.node().connect().await;
        let (idle, idle_connection) = site.node().config().connect(NoTls).await.unwrap();
        let idle_end = tokio::spawn(idle_connection);
        in_transaction.batch_execute("BEGIN").await.unwrap();
        slow_down(&site, Duration::from_millis(300));
        let before = site.node().edge.statistics().statements;
        let running = tokio::spawn(async move {
            let inserted = busy
                .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
                .await;
            (busy, inserted)
        });
        one_more_statement(&site, before).await;
        let edge = std::sync::Arc::clone(&site.node().edge);
        let drained = tokio::spawn(async move { edge.drain(HANG).await });

        let end = idle_end.await.unwrap().unwrap_err();
        assert_eq!(end.code().unwrap().code(), "57P01", "{end:?}");
        drop(idle);
        let (_busy, inserted) = running.await.unwrap();
        inserted.expect("a statement in flight is finished");
        let Err(refused) = site.node().config().connect(NoTls).await else {
            panic!("a new session was accepted");
        };
        assert_eq!(refused.code().unwrap().code(), "57P01");
        in_transaction
            .batch_execute("INSERT INTO books (id, title) VALUES (2, 'y')")
            .await
            .expect("a transaction goes on");
        in_transaction.batch_execute("COMMIT").await.unwrap();
        assert!(drained.await.unwrap());
        site.nodes.remove(0).stopped().await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_before_a_planned_stop_is_answered() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let mut callers = Vec::new();
        for _ in 0..50 {
            callers.push(RawCaller::connect(site.address).await);
        }
        for caller in &mut callers {
            caller.send(&[query("SELECT 1")]).await;
        }
        let edge = std::sync::Arc::clone(&site.edge);
        let drained = tokio::spawn(async move { edge.drain(HANG).await });
        for caller in &mut callers {
            assert_eq!(caller.answers_until(b'Z').await, "CZ");
            let (tag, body) = caller.next().await;
            assert_eq!(tag, b'E');
            assert!(String::from_utf8_lossy(&body).contains("57P01"));
        }
        drop(callers);
        assert!(drained.await.unwrap());
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_setting_is_in_force_for_the_next_request() {
    guarded(async {
        let site = Site::start().await;
        let client = site.with_table().await;
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
