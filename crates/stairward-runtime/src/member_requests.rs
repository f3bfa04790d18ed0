//! Requests to group members outside any session. Connections are reused for a short time, since a failover sends
//! several requests to each member.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use stairward_engine::{OpenFailure, OpenTarget};
use stairward_failover::MemberCallResult;
use stairward_types::BackendId;
use tokio::time::Instant;

use crate::backends::open_connection;
use crate::member_connection::{MemberConnection, RETRY_DELAY, RequestFailure};
use crate::node::Node;
use crate::prometheus;
use crate::wire::{MemberRequest, Wire};

pub use crate::member_connection::DoubtedMemberReply;

/// Timeout for a member request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection is kept after a request.
const CONNECTION_RETENTION: Duration = Duration::from_millis(1_500);

/// Connections to members that were sent a request recently.
#[derive(Default)]
pub struct MemberConnections {
    by_member: RefCell<BTreeMap<BackendId, MemberConnection>>,
}

impl MemberConnections {
    /// Sends a request to a member and waits for its reply. Must run in a [`tokio::task::LocalSet`].
    ///
    /// Calls `report` for each reply that may be a repetition of an earlier one; the request is then sent again on a
    /// new connection.
    pub async fn request<W: Wire>(
        self: &Rc<Self>,
        target: &OpenTarget,
        request: MemberRequest,
        report: impl Fn(&DoubtedMemberReply),
    ) -> MemberCallResult {
        let is_running = Cell::new(false);
        let requesting = self.request_with_retries::<W>(target, request, &is_running, &report);
        let result = tokio::time::timeout(REQUEST_TIMEOUT, requesting).await;
        match result.unwrap_or(MemberCallResult::Silent) {
            MemberCallResult::Silent if is_running.get() => MemberCallResult::Busy,
            result => result,
        }
    }

    /// Sets `is_running` once the member has accepted a connection, or refused one because it had too many.
    async fn request_with_retries<W: Wire>(
        self: &Rc<Self>,
        target: &OpenTarget,
        request: MemberRequest,
        is_running: &Cell<bool>,
        report: &impl Fn(&DoubtedMemberReply),
    ) -> MemberCallResult {
        let is_late_at = Instant::now() + REQUEST_TIMEOUT / 2;
        let mut kept = self.by_member.borrow_mut().remove(&target.backend);
        loop {
            let is_new = kept.is_none();
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => match open_within_limit::<W>(target, is_running).await {
                    Ok(connection) => connection,
                    Err(result) => return result,
                },
            };
            match connection.request::<W>(request, is_late_at).await {
                Ok(result) => {
                    self.keep(connection);
                    return result;
                }
                Err(RequestFailure::Lost) if is_new => return MemberCallResult::Silent,
                Err(RequestFailure::Lost | RequestFailure::Unmatched) => connection.close(),
                Err(RequestFailure::Doubted(doubted)) => {
                    connection.close();
                    report(&doubted);
                }
            }
            if is_new {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Keeps a connection for further requests, for a limited time, unless their answers could be one behind.
    fn keep(self: &Rc<Self>, connection: MemberConnection) {
        if !connection.is_reusable() {
            return connection.close();
        }
        let member = connection.backend().clone();
        let id = connection.id();
        let earlier = self
            .by_member
            .borrow_mut()
            .insert(member.clone(), connection);
        if let Some(earlier) = earlier {
            earlier.close();
        }
        let connections = Rc::clone(self);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CONNECTION_RETENTION).await;
            connections.close_if_unused(&member, &id);
        });
    }
    fn close_if_unused(&self, member: &BackendId, id: &Rc<()>) {
        let mut kept = self.by_member.borrow_mut();
        let is_same = kept
            .get(member)
            .is_some_and(|kept| Rc::ptr_eq(&kept.id(), id));
        if is_same && let Some(connection) = kept.remove(member) {
            connection.close();
        }
    }
}

/// Opens a connection to a member, and waits while the member is at its connection limit.
async fn open_within_limit<W: Wire>(
    target: &OpenTarget,
    is_running: &Cell<bool>,
) -> Result<MemberConnection, MemberCallResult> {
    loop {
        match open_connection::<W>(target).await {
            Ok(opened) => {
                is_running.set(true);
                return Ok(MemberConnection::new(target.backend.clone(), opened));
            }
            // Other connections open and close frequently, so one may become free before the timeout.
            Err(OpenFailure::ConnectionLimit) => {
                is_running.set(true);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(OpenFailure::Refused | OpenFailure::WrongBackend) => {
                return Err(MemberCallResult::Refused);
            }
            Err(_) => return Err(MemberCallResult::Silent),
        }
    }
}

impl<W: Wire> Node<W> {
    /// Sends a request to a member and waits for its reply.
    pub(crate) async fn query_member(
        self: &Rc<Self>,
        target: OpenTarget,
        request: MemberRequest,
    ) -> MemberCallResult {
        let report = |doubted: &DoubtedMemberReply| {
            prometheus::count_doubted_reply(doubted.doubt);
            self.log.doubted_member_reply(self.now(), doubted);
        };
        self.member_connections
            .request::<W>(&target, request, report)
            .await
    }
}
