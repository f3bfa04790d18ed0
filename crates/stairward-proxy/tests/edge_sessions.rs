//! Session consistency: session tokens, hints, and reconnecting to another proxy.

mod edge_support;

use edge_support::{Site, connect_with, result_code, simple_value, token_key, with_timeout};
use stairward_proxy::edge::EdgeSettings;
use stairward_session::{SessionToken, TokenKey};
use stairward_standins::group::Fault;
use stairward_types::{Freshness, GroupId, LogPosition, ResultCode, Term};
use std::time::Duration;
use tokio_postgres::NoTls;

const SHOW_TOKEN: &str = "SHOW stairward.session_token";

async fn start_two_nodes() -> Site {
    Site::start_with(2, &EdgeSettings::with_trust_authentication(token_key())).await
}

/// Delays one replica for longer than any test runs. The other replica isn't delayed, because a
/// write is acknowledged only once a majority has received it.
fn lag_replica(site: &Site) {
    let member = stairward_types::BackendId::new("b").unwrap();
    let lag = Duration::from_secs(3_600);
    site.databases.inject(Fault::Lag { member, lag });
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_replica_does_not_hide_own_writes() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        lag_replica(&site);
        for id in 0..5 {
            client
                .batch_execute(&format!("INSERT INTO books (id, title) VALUES ({id}, 'x')"))
                .await
                .unwrap();
            let text = format!("SELECT id FROM books WHERE id = {id}");
            let seen = simple_value(&client, &text).await;
            assert_eq!(seen, Some(id.to_string()));
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_carries_the_floor_to_another_proxy() {
    with_timeout(async {
        let site = start_two_nodes().await;
        let client = site.connect_with_table().await;
        lag_replica(&site);
        client
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
            .await
            .unwrap();
        let token = simple_value(&client, SHOW_TOKEN).await.unwrap();
        assert!(!token.is_empty());
        let mut config = site.nodes[1].config();
        config.options(format!("-c stairward.session_token={token}"));
        let second = connect_with(&config).await;
        let seen = simple_value(&second, "SELECT title FROM books WHERE id = 1").await;
        assert_eq!(seen.as_deref(), Some("x"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_session_sees_writes_acknowledged_before_it_connected() {
    with_timeout(async {
        let site = start_two_nodes().await;
        let client = site.connect_with_table().await;
        lag_replica(&site);
        client
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
            .await
            .unwrap();
        drop(client);
        let second = site.nodes[1].connect().await;
        let seen = simple_value(&second, "SELECT title FROM books WHERE id = 1").await;
        assert_eq!(seen.as_deref(), Some("x"));
    })
    .await;
}

async fn connect_error(site: &Site, options: &str) -> tokio_postgres::Error {
    let mut config = site.node().config();
    config.options(options);
    let Err(error) = config.connect(NoTls).await else {
        panic!("{options} was accepted");
    };
    error
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_and_damaged_tokens_are_refused() {
    with_timeout(async {
        let site = Site::start().await;
        let forged = TokenKey::new(*b"some other secret").sign(&SessionToken {
            group: GroupId::new(edge_support::DATABASE).unwrap(),
            floor: Freshness::new(Term(1), LogPosition(1)),
        });
        for token in [forged.as_str(), "damaged", ""] {
            let options = format!("-c stairward.session_token={token}");
            let error = connect_error(&site, &options).await;
            let expected = Some(ResultCode::InvalidToken.number());
            assert_eq!(result_code(&error), expected, "{token:?}");
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_ahead_of_the_group_does_not_block_the_session() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        let token = token_key().sign(&SessionToken {
            group: GroupId::new(edge_support::DATABASE).unwrap(),
            floor: Freshness::new(Term(900), LogPosition(u64::MAX)),
        });
        let mut config = site.node().config();
        config.options(format!("-c stairward.session_token={token}"));
        let ahead = connect_with(&config).await;
        let seen = simple_value(&ahead, "SELECT count(*) FROM books").await;
        assert_eq!(seen.as_deref(), Some("0"));
        drop(client);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_hints_are_refused_everywhere() {
    with_timeout(async {
        let site = Site::start().await;
        let expected = Some(ResultCode::InvalidHint.number());
        let error = connect_error(&site, "-c stairward.deadline_ms=soon").await;
        assert_eq!(result_code(&error), expected);
        let client = site.node().connect().await;
        for text in [
            "SET stairward.repeatable = 'perhaps'",
            "SET stairward.unheard_of = 'on'",
            "SELECT 1 /*stairward.deadline_ms='0'*/",
            "SELECT 1 /*stairward.unheard_of='1'*/",
        ] {
            let error = client.batch_execute(text).await.unwrap_err();
            assert_eq!(result_code(&error), expected, "{text}");
        }
        client
            .batch_execute("SET stairward.deadline_ms = 500")
            .await
            .unwrap();
        client
            .batch_execute("RESET stairward.deadline_ms")
            .await
            .unwrap();
        let seen = simple_value(&client, "SELECT 1 /*stairward.repeatable='on',app='x'*/").await;
        assert_eq!(seen.as_deref(), Some("1"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_only_session_cannot_write() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client
            .batch_execute("SET stairward.read_only = on")
            .await
            .unwrap();
        let error = client
            .batch_execute("INSERT INTO books (id, title) VALUES (1, 'x')")
            .await
            .unwrap_err();
        let expected = Some(ResultCode::InvalidHint.number());
        assert_eq!(result_code(&error), expected);
        let seen = simple_value(&client, "SELECT count(*) FROM books").await;
        assert_eq!(seen.as_deref(), Some("0"));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_key_is_refused_within_a_transaction() {
    with_timeout(async {
        let site = Site::start().await;
        let client = site.connect_with_table().await;
        client.batch_execute("BEGIN").await.unwrap();
        let error = client
            .batch_execute(
                "INSERT INTO books (id, title) VALUES (1, 'x') /*stairward.request_key='k'*/",
            )
            .await
            .unwrap_err();
        let expected = Some(ResultCode::InvalidHint.number());
        assert_eq!(result_code(&error), expected);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_with_a_request_key_runs_once_through_two_proxies() {
    with_timeout(async {
        let site = start_two_nodes().await;
        let first = site.connect_with_table().await;
        let second = site.nodes[1].connect().await;
        let text = "INSERT INTO books (id, title) VALUES (1, 'x') /*stairward.request_key='k'*/";
        first.batch_execute(text).await.unwrap();
        // A second execution would violate the primary key.
        second.batch_execute(text).await.unwrap();
        let seen = simple_value(&second, "SELECT count(*) FROM books").await;
        assert_eq!(seen.as_deref(), Some("1"));
    })
    .await;
}
