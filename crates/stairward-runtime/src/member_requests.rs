//! Requests to group members outside any session. Connections are reused for a short time, since a failover sends
//! several requests to each member.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairward_engine::{OpenFailure, OpenTarget};
use stairward_failover::{MemberCallResult, MemberStatus};
use stairward_types::{BackendId, BackendRole};
use tokio::io::AsyncReadExt as _;

use crate::backends::{OpenedConnection, open_connection};
use crate::node::Node;
use crate::wire::{MemberRequest, Wire, log_unencodable};

/// Timeout for a member request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before a request is repeated to a member that was at its connection limit or had not received enough log.
const RETRY_DELAY: Duration = Duration::from_millis(15);
/// How long a connection is kept after a request.
const CONNECTION_RETENTION: Duration = Duration::from_millis(1_500);

/// Connections to members that were sent a request recently.
#[derive(Default)]
pub(crate) struct MemberConnections {
    by_member: BTreeMap<BackendId, OpenedConnection>,
}

impl<W: Wire> Node<W> {
    /// Sends a request to a member and waits for its reply.
    pub(crate) async fn query_member(
        self: &Rc<Self>,
        target: OpenTarget,
        request: MemberRequest,
    ) -> MemberCallResult {
        let is_running = Cell::new(false);
        let requesting = self.request_with_retries(&target, request, &is_running);
        let result = tokio::time::timeout(REQUEST_TIMEOUT, requesting).await;
        match result.unwrap_or(MemberCallResult::Silent) {
            MemberCallResult::Silent if is_running.get() => MemberCallResult::Busy,
            result => result,
        }
    }

    /// Sets `is_running` once the member has accepted a connection, or refused one because it had too many.
    async fn request_with_retries(
        self: &Rc<Self>,
        target: &OpenTarget,
        request: MemberRequest,
        is_running: &Cell<bool>,
    ) -> MemberCallResult {
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
        // No connection was kept, or it has failed.
        let mut opened = loop {
            match open_connection::<W>(target).await {
                Ok(opened) => break opened,
                // Other connections open and close frequently, so one may become free before the timeout.
                Err(OpenFailure::ConnectionLimit) => {
                    is_running.set(true);
                    Self::pause(RETRY_DELAY).await;
                }
                Err(OpenFailure::Refused | OpenFailure::WrongBackend) => {
                    return MemberCallResult::Refused;
                }
                Err(_) => return MemberCallResult::Silent,
            }
        };
        is_running.set(true);
        match request_on_connection::<W>(&mut opened, request).await {
            Some(reach) => {
                self.cache_connection(target, opened);
                reach
            }
            None => MemberCallResult::Silent,
        }
    }

    fn cache_connection(self: &Rc<Self>, target: &OpenTarget, opened: OpenedConnection) {
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

/// Sends a request on a connection. Before a step-down the member's role is queried: only a member that was primary
/// before proves by its reply that its leadership has ended.
async fn request_on_connection<W: Wire>(
    opened: &mut OpenedConnection,
    request: MemberRequest,
) -> Option<MemberCallResult> {
    let must_have_led = matches!(request, MemberRequest::StepDown(_));
    let led = must_have_led
        && request_until_sufficient::<W>(opened, MemberRequest::Status)
            .await?
            .role
            == BackendRole::Primary;
    let status = request_until_sufficient::<W>(opened, request).await?;
    Some(if led && status.role == BackendRole::Replica {
        MemberCallResult::GaveWay(status)
    } else {
        MemberCallResult::Answered(status)
    })
}

/// Repeats a request on a connection until the reply is sufficient or half of the timeout has passed; none if the
/// connection fails.
async fn request_until_sufficient<W: Wire>(
    opened: &mut OpenedConnection,
    request: MemberRequest,
) -> Option<MemberStatus> {
    let mut decoder = W::ReplyDecoder::default();
    let began = tokio::time::Instant::now();
    loop {
        let mut bytes = BytesMut::new();
        W::encode_member_request(request, &mut bytes)
            .inspect_err(|error| log_unencodable(*error))
            .ok()?;
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
