//! Questions to members of a group, each on a connection of its own.

use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::OpenTarget;
use stairward_failover::MemberStatus;
use tokio::io::AsyncReadExt as _;

use crate::backends::open_connection;
use crate::wire::{MemberQuestion, Wire};

/// How long a member may take to answer.
const QUESTION_PATIENCE: Duration = Duration::from_millis(800);
/// Pause before a member that was busy is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

/// Asks a member; none when it does not answer in time.
pub(crate) async fn ask_member<W: Wire>(
    target: OpenTarget,
    question: MemberQuestion,
) -> Option<MemberStatus> {
    tokio::time::timeout(QUESTION_PATIENCE, ask_until_answered::<W>(target, question))
        .await
        .ok()
        .flatten()
}

async fn ask_until_answered<W: Wire>(
    target: OpenTarget,
    question: MemberQuestion,
) -> Option<MemberStatus> {
    let mut opened = open_connection::<W>(&target).await.ok()?;
    let mut decoder = W::ReplyDecoder::default();
    loop {
        let mut bytes = BytesMut::new();
        W::encode_question(question, &mut bytes);
        opened.outgoing.send(&bytes).ok()?;
        let reply = loop {
            if let Some(reply) = W::decode_reply(&mut decoder, &mut opened.buffer).ok()? {
                break reply;
            }
            if opened.reading.read_buf(&mut opened.buffer).await.ok()? == 0 {
                return None;
            }
        };
        if let Some(status) = W::member_status(&reply) {
            return Some(status);
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}
