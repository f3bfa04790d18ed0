//! Slow readers and malformed input: memory stays bounded and other sessions are unaffected.

mod edge_support;

use edge_support::raw::{RawClient, message, query};
use edge_support::scripted::{Ending, ScriptedSite};
use edge_support::{simple_value, with_timeout};
use stairward_protocol::stream::INITIAL_WINDOW_BYTES;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Larger than the socket buffers between edge and client.
const LARGE_RESPONSE_BYTES: usize = 48 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_buffers_no_more_than_the_window() {
    with_timeout(async {
        let site = ScriptedSite::start().await;
        let mut client = RawClient::connect(site.address).await;
        site.script
            .set(&[Ending::LargeResponse(LARGE_RESPONSE_BYTES)]);
        client.send(&[query("SELECT id FROM books")]).await;
        site.script.waiting_for_credit.notified().await;
        let mut bytes = 0;
        loop {
            let (tag, body) = client.next().await;
            match tag {
                b'D' => bytes += body.len() + 5,
                b'Z' => break,
                _ => {}
            }
        }
        assert!(bytes >= LARGE_RESPONSE_BYTES, "{bytes}");
        let outstanding = *site.script.max_uncredited_bytes.lock().unwrap();
        assert!(
            outstanding <= INITIAL_WINDOW_BYTES as usize + 8_192,
            "{outstanding}"
        );
    })
    .await;
}

/// Generates input of a malicious client: random bytes, valid messages, or messages with random
/// bodies.
fn fuzz_input(choice: u8, bytes: &[u8]) -> Vec<u8> {
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
fn malformed_input_ends_only_its_own_session() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (site, bystander) = runtime.block_on(async {
        let site = ScriptedSite::start().await;
        let bystander = site.connect().await;
        (site, bystander)
    });
    stairward_testing::check!()
        .with_type::<Vec<(u8, Vec<u8>)>>()
        .for_each(|inputs| {
            runtime.block_on(with_timeout(async {
                let mut client = RawClient::connect(site.address).await;
                for (choice, bytes) in inputs {
                    // The edge may already have closed the connection.
                    let _ = client.socket.write_all(&fuzz_input(*choice, bytes)).await;
                }
                let _ = client.socket.shutdown().await;
                let mut answer = Vec::new();
                let _ = client.socket.read_to_end(&mut answer).await;
            }));
        });
    runtime.block_on(with_timeout(async {
        bystander.batch_execute("SELECT 1").await.unwrap();
        while site.edge.statistics().sessions > 1 {
            tokio::task::yield_now().await;
        }
        let seen = simple_value(&bystander, "SHOW stairward.session_token").await;
        assert!(seen.is_some());
    }));
}
