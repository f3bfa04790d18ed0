//! The extended query protocol at message level.

mod edge_support;

use edge_support::raw::{
    RawClient, bind, close, describe, execute, flush, message, parse, query, sync,
};
use edge_support::scripted::{Ending, ScriptedSite};
use edge_support::with_timeout;
use stairward_types::ResultCode;

const READ: &str = "SELECT id FROM books";
const WRITE: &str = "INSERT INTO books VALUES (1)";

async fn start() -> (ScriptedSite, RawClient) {
    let site = ScriptedSite::start().await;
    let client = RawClient::connect(site.address).await;
    (site, client)
}

/// The streams opened at the owner: whether to the primary, and whether for writing.
fn opened_streams(site: &ScriptedSite) -> Vec<(bool, bool)> {
    let opened = site.script.opened();
    opened
        .iter()
        .map(|opened| (opened.backend == "a", opened.writes))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_runs_up_to_its_sync() {
    with_timeout(async {
        let (site, mut client) = start().await;
        let messages = [parse("", READ), bind(""), describe(""), execute(), sync()];
        assert_eq!(client.request(&messages).await, "12tnCZ");
        assert_eq!(site.script.received(), "PBDES");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_batches_are_answered_in_order() {
    with_timeout(async {
        let (site, mut client) = start().await;
        let batch = [parse("", READ), bind(""), execute(), sync()];
        client.send(&[batch.concat(), batch.concat()]).await;
        assert_eq!(client.response_types_until(b'Z').await, "12CZ");
        assert_eq!(client.response_types_until(b'Z').await, "12CZ");
        assert_eq!(site.script.opened().len(), 2);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_batch_needs_no_backend() {
    with_timeout(async {
        let (site, mut client) = start().await;
        assert_eq!(client.request(&[sync()]).await, "Z");
        assert_eq!(client.request(&[flush(), sync()]).await, "Z");
        assert_eq!(client.request(&[query("  ; ")]).await, "IZ");
        assert_eq!(site.script.opened(), []);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_named_statement_is_prepared_again_transparently() {
    with_timeout(async {
        let (site, mut client) = start().await;
        assert_eq!(client.request(&[parse("s", WRITE), sync()]).await, "1Z");
        site.script.set(&[]);
        let messages = [bind("s"), execute(), sync()];
        assert_eq!(client.request(&messages).await, "2CZ");
        assert_eq!(site.script.received(), "PBES");
        assert_eq!(opened_streams(&site), [(true, true)]);
        assert_eq!(client.request(&[close("s"), sync()]).await, "3Z");
        assert_eq!(client.request(&messages).await, "EZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_named_statement_is_prepared_once_per_transaction() {
    with_timeout(async {
        let (site, mut client) = start().await;
        client.request(&[parse("s", WRITE), sync()]).await;
        client.request(&[query("BEGIN")]).await;
        site.script.set(&[]);
        let messages = [bind("s"), execute(), sync()];
        assert_eq!(client.request(&messages).await, "2CZ");
        assert_eq!(client.request(&messages).await, "2CZ");
        assert_eq!(site.script.received(), "PBESBES");
        client.request(&[query("COMMIT")]).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_statement_is_refused_by_the_edge() {
    with_timeout(async {
        let (site, mut client) = start().await;
        let other_client = &mut RawClient::connect(site.address).await;
        other_client
            .request(&[parse("", READ), parse("s", READ), sync()])
            .await;
        site.script.set(&[]);
        for name in ["", "s"] {
            let messages = [bind(name), execute(), sync()];
            assert_eq!(client.request(&messages).await, "EZ", "{name:?}");
        }
        assert_eq!(site.script.opened(), []);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_after_an_error_are_skipped_up_to_sync() {
    with_timeout(async {
        let (site, mut client) = start().await;
        let messages = [
            bind("nowhere"),
            flush(),
            parse("", WRITE),
            bind(""),
            execute(),
            flush(),
            sync(),
        ];
        assert_eq!(client.request(&messages).await, "EZ");
        assert_eq!(site.script.opened(), []);
        assert_eq!(client.request(&[query(READ)]).await, "CZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flush_returns_the_pending_responses() {
    with_timeout(async {
        let (site, mut client) = start().await;
        client
            .send(&[parse("s", READ), describe("s"), flush()])
            .await;
        assert_eq!(client.response_types_until(b'n').await, "1tn");
        assert_eq!(client.request(&[bind("s"), execute(), sync()]).await, "2CZ");
        // All parts ran on one replica connection, and the statement was parsed once.
        assert_eq!(opened_streams(&site), [(false, false)]);
        assert_eq!(site.script.received(), "PDHBES");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_prepared_on_a_replica_moves_to_the_primary() {
    with_timeout(async {
        let (site, mut client) = start().await;
        client
            .send(&[parse("", WRITE), describe(""), flush()])
            .await;
        assert_eq!(client.response_types_until(b'n').await, "1tn");
        assert_eq!(client.request(&[bind(""), execute(), sync()]).await, "2CZ");
        assert_eq!(opened_streams(&site), [(false, false), (true, true)]);
        assert_eq!(site.script.received(), "PDHSPBES");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_after_a_failed_part_is_skipped() {
    with_timeout(async {
        let (site, mut client) = start().await;
        client.send(&[parse("", "FAIL"), flush()]).await;
        assert_eq!(client.response_types_until(b'E').await, "E");
        let messages = [parse("", WRITE), bind(""), execute(), sync()];
        assert_eq!(client.request(&messages).await, "Z");
        assert_eq!(opened_streams(&site), [(false, false)]);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partial_batch_that_executes_runs_on_the_primary() {
    with_timeout(async {
        let (site, mut client) = start().await;
        client
            .send(&[parse("", READ), bind(""), execute(), flush()])
            .await;
        assert_eq!(client.response_types_until(b'C').await, "12C");
        let messages = [parse("", WRITE), bind(""), execute(), sync()];
        assert_eq!(client.request(&messages).await, "12CZ");
        assert_eq!(opened_streams(&site), [(true, true)]);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_transaction_can_be_ended_with_the_extended_protocol() {
    with_timeout(async {
        let (site, mut client) = start().await;
        site.script.set(&[Ending::DisconnectAtSecondBatch]);
        client.request(&[query("BEGIN")]).await;
        assert_eq!(client.request(&[query(WRITE)]).await, "EZ");
        let messages = [
            parse("", "ROLLBACK"),
            bind(""),
            describe(""),
            execute(),
            sync(),
        ];
        assert_eq!(client.request(&messages).await, "12tnCZ");
        assert_eq!(client.request(&[query(READ)]).await, "CZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unexpected_messages_are_ignored_or_refused() {
    with_timeout(async {
        let (_site, mut client) = start().await;
        let stray_copy_messages = [message(b'd', b"x"), message(b'c', b""), query(READ)];
        assert_eq!(client.request(&stray_copy_messages).await, "CZ");
        assert_eq!(client.request(&[message(b'F', &[0; 10])]).await, "EZ");
        client.send(&[message(b'p', b"x")]).await;
        let (tag, body) = client.next().await;
        assert_eq!(tag, b'E');
        let text = String::from_utf8_lossy(&body);
        let code = format!("SW{}", ResultCode::ProtocolViolation.number());
        assert!(text.contains(&code), "{text}");
    })
    .await;
}
