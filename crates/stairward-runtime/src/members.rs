//! Questions to members of a group, outside any session: on connections that are kept for a moment, since an
//! attempt to replace a primary asks several times.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::{OpenFailure, OpenTarget};
use stairward_failover::{MemberCallResult, MemberStatus};
use stairward_types::{BackendId, BackendRole};
use tokio::io::AsyncReadExt as _;

use crate::backends::{Opened, open_connection};
use crate::node::Node;
use crate::wire::{MemberRequest, Wire};

/// How long a member may take to answer.
const QUESTION_PATIENCE: Duration = Duration::from_millis(800);
/// Pause before a member that was busy, or has not received enough, is asked again.
const AGAIN_PAUSE: Duration = Duration::from_millis(15);
/// How long a connection is kept after a question.
const KEPT_FOR: Duration = Duration::from_millis(1_500);

/// Connections to members that were asked a moment ago.
#[derive(Default)]
pub(crate) struct KeptConnections {
    by_member: BTreeMap<BackendId, Opened>,
}

impl<W: Wire> Node<W> {
    /// Asks a member.
    pub(crate) async fn ask_member(
        self: &Rc<Self>,
        target: OpenTarget,
        question: MemberRequest,
    ) -> MemberCallResult {
        let asking = self.ask_until_answered(&target, question);
        tokio::time::timeout(QUESTION_PATIENCE, asking)
            .await
            .unwrap_or(MemberCallResult::Silent)
    }

    async fn ask_until_answered(
        self: &Rc<Self>,
        target: &OpenTarget,
        question: MemberRequest,
    ) -> MemberCallResult {
        let kept = self.kept.borrow_mut().by_member.remove(&target.backend);
        if let Some(mut opened) = kept
            && let Some(reach) = ask_in_turn::<W>(&mut opened, question).await
        {
            self.keep(target, opened);
            return reach;
        }
        // None was kept, or it has ended since.
        let mut opened = loop {
            match open_connection::<W>(target).await {
                Ok(opened) => break opened,
                // Callers' connections come and go.
                Err(OpenFailure::ConnectionLimit) => Self::pause(AGAIN_PAUSE).await,
                Err(OpenFailure::Refused) => return MemberCallResult::Refused,
                Err(_) => return MemberCallResult::Silent,
            }
        };
        match ask_in_turn::<W>(&mut opened, question).await {
            Some(reach) => {
                self.keep(target, opened);
                reach
            }
            None => MemberCallResult::Silent,
        }
    }

    fn keep(self: &Rc<Self>, target: &OpenTarget, opened: Opened) {
        let member = target.backend.clone();
        let outgoing = Rc::clone(&opened.outgoing);
        let earlier = self
            .kept
            .borrow_mut()
            .by_member
            .insert(member.clone(), opened);
        if let Some(earlier) = earlier {
            earlier.outgoing.close();
        }
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            Self::pause(KEPT_FOR).await;
            let mut kept = node.kept.borrow_mut();
            let is_same = kept
                .by_member
                .get(&member)
                .is_some_and(|kept| Rc::ptr_eq(&kept.outgoing, &outgoing));
            if is_same && let Some(opened) = kept.by_member.remove(&member) {
                opened.outgoing.close();
            }
        });
    }
}

/// Asks on a connection. A member that is to step down is first asked whether it leads: only then does its
/// answer show that its lead has ended.
async fn ask_in_turn<W: Wire>(
    opened: &mut Opened,
    question: MemberRequest,
) -> Option<MemberCallResult> {
    let must_have_led = matches!(question, MemberRequest::StepDown(_));
    let led = must_have_led
        && ask_on::<W>(opened, MemberRequest::Status).await?.role == BackendRole::Primary;
    let status = ask_on::<W>(opened, question).await?;
    Some(if led && status.role == BackendRole::Replica {
        MemberCallResult::GaveWay(status)
    } else {
        MemberCallResult::Answered(status)
    })
}

/// Asks on a connection until there is an answer that says enough; none when the connection fails.
async fn ask_on<W: Wire>(opened: &mut Opened, question: MemberRequest) -> Option<MemberStatus> {
    let mut decoder = W::ReplyDecoder::default();
    let began = tokio::time::Instant::now();
    loop {
        let mut bytes = BytesMut::new();
        W::encode_member_request(question, &mut bytes);
        opened.outgoing.send(&bytes).ok()?;
        let reply = loop {
            if let Some(reply) = W::decode_reply(&mut decoder, &mut opened.buffer).ok()? {
                break reply;
            }
            if opened.reading.read_buf(&mut opened.buffer).await.ok()? == 0 {
                return None;
            }
        };
        let is_late = began.elapsed() >= QUESTION_PATIENCE / 2;
        if let Some(status) = reply.member
            && (is_enough(question, status) || is_late)
        {
            return Some(status);
        }
        tokio::time::sleep(AGAIN_PAUSE).await;
    }
}

fn is_enough(question: MemberRequest, status: MemberStatus) -> bool {
    match question {
        MemberRequest::Received(all) => status.received.covers(all),
        _ => true,
    }
}
