//! Questions to members of a group, outside any session: on connections that are kept for a moment, since an
//! attempt to replace a primary asks several times.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::{OpenFailure, OpenTarget};
use stairward_failover::{MemberStatus, Reach};
use stairward_types::{BackendId, BackendRole};
use tokio::io::AsyncReadExt as _;

use crate::backends::{Opened, open_connection};
use crate::node::Node;
use crate::wire::{MemberRequest, Wire};

/// How long a member may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a member that was busy, or has not received enough, is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(15);
/// How long a connection is kept after a question.
const CONNECTION_RETENTION: Duration = Duration::from_millis(1_500);

/// Connections to members that were asked a moment ago.
#[derive(Default)]
pub(crate) struct MemberConnections {
    by_member: BTreeMap<BackendId, Opened>,
}

impl<W: Wire> Node<W> {
    /// Asks a member.
    pub(crate) async fn ask_member(
        self: &Rc<Self>,
        target: OpenTarget,
        request: MemberRequest,
    ) -> Reach {
        let asking = self.request_with_retries(&target, request);
        tokio::time::timeout(REQUEST_TIMEOUT, asking)
            .await
            .unwrap_or(Reach::Silent)
    }

    async fn request_with_retries(
        self: &Rc<Self>,
        target: &OpenTarget,
        request: MemberRequest,
    ) -> Reach {
        let kept = self
            .member_connections
            .borrow_mut()
            .by_member
            .remove(&target.backend);
        if let Some(mut opened) = kept
            && let Some(reach) = request_on_connection::<W>(&mut opened, request).await
        {
            self.cache_connection(target, opened);
            return reach;
        }
        // None was kept, or it has ended since.
        let mut opened = loop {
            match open_connection::<W>(target).await {
                Ok(opened) => break opened,
                // Callers' connections come and go.
                Err(OpenFailure::ConnectionLimit) => Self::pause(RETRY_DELAY).await,
                Err(OpenFailure::Refused) => return Reach::Refused,
                Err(_) => return Reach::Silent,
            }
        };
        match request_on_connection::<W>(&mut opened, request).await {
            Some(reach) => {
                self.cache_connection(target, opened);
                reach
            }
            None => Reach::Silent,
        }
    }

    fn cache_connection(self: &Rc<Self>, target: &OpenTarget, opened: Opened) {
        let member = target.backend.clone();
        let outgoing = Rc::clone(&opened.outgoing);
        let earlier = self
            .member_connections
            .borrow_mut()
            .by_member
            .insert(member.clone(), opened);
        if let Some(earlier) = earlier {
            earlier.outgoing.close();
        }
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            Self::pause(CONNECTION_RETENTION).await;
            let mut kept = node.member_connections.borrow_mut();
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
async fn request_on_connection<W: Wire>(
    opened: &mut Opened,
    request: MemberRequest,
) -> Option<Reach> {
    let must_have_led = matches!(request, MemberRequest::StepDown(_));
    let led = must_have_led
        && request_until_sufficient::<W>(opened, MemberRequest::Status)
            .await?
            .role
            == BackendRole::Primary;
    let status = request_until_sufficient::<W>(opened, request).await?;
    Some(if led && status.role == BackendRole::Replica {
        Reach::GaveWay(status)
    } else {
        Reach::Answered(status)
    })
}

/// Asks on a connection until there is an answer that says enough; none when the connection fails.
async fn request_until_sufficient<W: Wire>(
    opened: &mut Opened,
    request: MemberRequest,
) -> Option<MemberStatus> {
    let mut decoder = W::ReplyDecoder::default();
    let began = tokio::time::Instant::now();
    loop {
        let mut bytes = BytesMut::new();
        W::encode_member_request(request, &mut bytes);
        opened.outgoing.send(&bytes).ok()?;
        let reply = loop {
            if let Some(reply) = W::decode_reply(&mut decoder, &mut opened.buffer).ok()? {
                break reply;
            }
            if opened.reading.read_buf(&mut opened.buffer).await.ok()? == 0 {
                return None;
            }
        };
        let is_late = began.elapsed() >= REQUEST_TIMEOUT / 2;
        if let Some(status) = reply.member
            && (is_sufficient(request, status) || is_late)
        {
            return Some(status);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn is_sufficient(request: MemberRequest, status: MemberStatus) -> bool {
    match request {
        MemberRequest::Received(all) => status.received.covers(all),
        _ => true,
    }
}
