//! The extended query protocol, message by message.

mod edge_support;

use edge_support::guarded;
use edge_support::raw::{
    RawCaller, bind, close, describe, execute, flush, message, parse, query, sync,
};
use edge_support::scripted::{Ending, ScriptedSite};
use stairward_types::ResultCode;

const READ: &str = "SELECT id FROM books";
const WRITE: &str = "INSERT INTO books VALUES (1)";

async fn start() -> (ScriptedSite, RawCaller) {
    let site = ScriptedSite::start().await;
    let caller = RawCaller::connect(site.address).await;
    (site, caller)
}

/// Back ends asked, with a mark for writes.
fn asked(site: &ScriptedSite) -> Vec<(bool, bool)> {
    let opened = site.script.opened();
    opened
        .iter()
        .map(|opened| (opened.backend == "a", opened.writes))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_runs_up_to_its_sync() {
    guarded(async {
        let (site, mut caller) = start().await;
        let messages = [parse("", READ), bind(""), describe(""), execute(), sync()];
        assert_eq!(caller.ask(&messages).await, "12tnCZ");
        assert_eq!(site.script.received(), "PBDES");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn batches_sent_ahead_are_answered_one_by_one() {
    guarded(async {
        let (site, mut caller) = start().await;
        let batch = [parse("", READ), bind(""), execute(), sync()];
        caller.send(&[batch.concat(), batch.concat()]).await;
        assert_eq!(caller.answers_until(b'Z').await, "12CZ");
        assert_eq!(caller.answers_until(b'Z').await, "12CZ");
        assert_eq!(site.script.opened().len(), 2);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sync_by_itself_needs_no_back_end() {
    guarded(async {
        let (site, mut caller) = start().await;
        assert_eq!(caller.ask(&[sync()]).await, "Z");
        assert_eq!(caller.ask(&[flush(), sync()]).await, "Z");
        assert_eq!(caller.ask(&[query("  ; ")]).await, "IZ");
        assert_eq!(site.script.opened(), []);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_named_statement_is_prepared_again_unseen_by_the_caller() {
    guarded(async {
        let (site, mut caller) = start().await;
        assert_eq!(caller.ask(&[parse("s", WRITE), sync()]).await, "1Z");
        site.script.set(&[]);
        let messages = [bind("s"), execute(), sync()];
        assert_eq!(caller.ask(&messages).await, "2CZ");
        assert_eq!(site.script.received(), "PBES");
        assert_eq!(asked(&site), [(true, true)]);
        assert_eq!(caller.ask(&[close("s"), sync()]).await, "3Z");
        assert_eq!(caller.ask(&messages).await, "EZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_named_statement_is_prepared_once_per_transaction() {
    guarded(async {
        let (site, mut caller) = start().await;
        caller.ask(&[parse("s", WRITE), sync()]).await;
        caller.ask(&[query("BEGIN")]).await;
        site.script.set(&[]);
        let messages = [bind("s"), execute(), sync()];
        assert_eq!(caller.ask(&messages).await, "2CZ");
        assert_eq!(caller.ask(&messages).await, "2CZ");
        assert_eq!(site.script.received(), "PBESBES");
        caller.ask(&[query("COMMIT")]).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_statement_never_reaches_a_back_end() {
    guarded(async {
        let (site, mut caller) = start().await;
        let other = &mut RawCaller::connect(site.address).await;
        other
            .ask(&[parse("", READ), parse("s", READ), sync()])
            .await;
        site.script.set(&[]);
        for name in ["", "s"] {
            let messages = [bind(name), execute(), sync()];
            assert_eq!(caller.ask(&messages).await, "EZ", "{name:?}");
        }
        assert_eq!(site.script.opened(), []);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn after_an_error_everything_up_to_the_sync_is_skipped() {
    guarded(async {
        let (site, mut caller) = start().await;
        let messages = [
            bind("nowhere"),
            flush(),
            parse("", WRITE),
            bind(""),
            execute(),
            flush(),
            sync(),
        ];
        assert_eq!(caller.ask(&messages).await, "EZ");
        assert_eq!(site.script.opened(), []);
        assert_eq!(caller.ask(&[query(READ)]).await, "CZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flush_brings_the_answers_so_far() {
    guarded(async {
        let (site, mut caller) = start().await;
        caller
            .send(&[parse("s", READ), describe("s"), flush()])
            .await;
        assert_eq!(caller.answers_until(b'n').await, "1tn");
        assert_eq!(caller.ask(&[bind("s"), execute(), sync()]).await, "2CZ");
        // All on one replica's connection, with the statement parsed once.
        assert_eq!(asked(&site), [(false, false)]);
        assert_eq!(site.script.received(), "PDHBES");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_prepared_on_a_replica_moves_to_the_primary() {
    guarded(async {
        let (site, mut caller) = start().await;
        caller
            .send(&[parse("", WRITE), describe(""), flush()])
            .await;
        assert_eq!(caller.answers_until(b'n').await, "1tn");
        assert_eq!(caller.ask(&[bind(""), execute(), sync()]).await, "2CZ");
        assert_eq!(asked(&site), [(false, false), (true, true)]);
        assert_eq!(site.script.received(), "PDHSPBES");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_after_a_part_that_failed_is_skipped() {
    guarded(async {
        let (site, mut caller) = start().await;
        caller.send(&[parse("", "FAIL"), flush()]).await;
        assert_eq!(caller.answers_until(b'E').await, "E");
        let messages = [parse("", WRITE), bind(""), execute(), sync()];
        assert_eq!(caller.ask(&messages).await, "Z");
        assert_eq!(asked(&site), [(false, false)]);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_runs_statements_goes_to_the_primary_since_more_may_follow() {
    guarded(async {
        let (site, mut caller) = start().await;
        caller
            .send(&[parse("", READ), bind(""), execute(), flush()])
            .await;
        assert_eq!(caller.answers_until(b'C').await, "12C");
        let messages = [parse("", WRITE), bind(""), execute(), sync()];
        assert_eq!(caller.ask(&messages).await, "12CZ");
        assert_eq!(asked(&site), [(true, true)]);
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_a_lost_transaction_is_confirmed_in_the_extended_protocol_too() {
    guarded(async {
        let (site, mut caller) = start().await;
        site.script.set(&[Ending::LoseAtSecondBatch]);
        caller.ask(&[query("BEGIN")]).await;
        assert_eq!(caller.ask(&[query(WRITE)]).await, "EZ");
        let messages = [
            parse("", "ROLLBACK"),
            bind(""),
            describe(""),
            execute(),
            sync(),
        ];
        assert_eq!(caller.ask(&messages).await, "12tnCZ");
        assert_eq!(caller.ask(&[query(READ)]).await, "CZ");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_out_of_place_do_no_harm() {
    guarded(async {
        let (_site, mut caller) = start().await;
        let copy_leftovers = [message(b'd', b"x"), message(b'c', b""), query(READ)];
        assert_eq!(caller.ask(&copy_leftovers).await, "CZ");
        assert_eq!(caller.ask(&[message(b'F', &[0; 10])]).await, "EZ");
        caller.send(&[message(b'p', b"x")]).await;
        let (tag, body) = caller.next().await;
        assert_eq!(tag, b'E');
        let text = String::from_utf8_lossy(&body);
        let code = format!("SW{}", ResultCode::ProtocolViolation.number());
        assert!(text.contains(&code), "{text}");
    })
    .await;
}
