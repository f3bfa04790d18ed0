//! Slow readers and callers that send garbage: bounded memory, no effect on other sessions.

mod edge_support;

use edge_support::raw::{RawCaller, message, query};
use edge_support::scripted::{Ending, ScriptedSite};
use edge_support::{guarded, simple_value};
use stairward_protocol::stream::INITIAL_WINDOW_BYTES;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// More than the sockets between edge and caller can hold.
const FLOOD_BYTES: usize = 48 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_holds_no_more_than_the_window() {
    guarded(async {
        let site = ScriptedSite::start().await;
        let mut caller = RawCaller::connect(site.address).await;
        site.script.set(&[Ending::Flood(FLOOD_BYTES)]);
        caller.send(&[query("SELECT id FROM books")]).await;
        site.script.stalled.notified().await;
        let mut bytes = 0;
        loop {
            let (tag, body) = caller.next().await;
            match tag {
                b'D' => bytes += body.len() + 5,
                b'Z' => break,
                _ => {}
            }
        }
        assert!(bytes >= FLOOD_BYTES, "{bytes}");
        let outstanding = *site.script.outstanding.lock().unwrap();
        assert!(
            outstanding <= INITIAL_WINDOW_BYTES as usize + 8_192,
            "{outstanding}"
        );
    })
    .await;
}

/// A stretch of what a hostile caller sends.
fn stretch(choice: u8, bytes: &[u8]) -> Vec<u8> {
    const TAGS: &[u8] = b"QPBDCEHSXpFdcf";
    let tag = TAGS[usize::from(choice) % TAGS.len()];
    match choice % 5 {
        0 => bytes.to_vec(),
        1 => query("SELECT 1"),
        2 => message(b'S', b""),
        _ => message(tag, bytes),
    }
}

#[test]
fn garbage_ends_its_own_session_at_most() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (site, bystander) = runtime.block_on(async {
        let site = ScriptedSite::start().await;
        let bystander = site.connect().await;
        (site, bystander)
    });
    stairward_testing::check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .for_each(|stretches| {
            runtime.block_on(guarded(async {
                let mut caller = RawCaller::connect(site.address).await;
                for (choice, bytes) in stretches {
                    // The edge may have closed the connection by now.
                    let _ = caller.socket.write_all(&stretch(*choice, bytes)).await;
                }
                let _ = caller.socket.shutdown().await;
                let mut answer = Vec::new();
                let _ = caller.socket.read_to_end(&mut answer).await;
            }));
        });
    runtime.block_on(guarded(async {
        bystander.batch_execute("SELECT 1").await.unwrap();
        while site.edge.statistics().sessions > 1 {
            tokio::task::yield_now().await;
        }
        let seen = simple_value(&bystander, "SHOW stairward.session_token").await;
        assert!(seen.is_some());
    }));
}
