//! Short questions of a simulated proxy that wait for their answer.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_membership::configuration::ExchangeId;
use stairward_pool::OwnerRole;
use stairward_pool::fence::QuestionId;
use stairward_types::{BackendId, GroupId, NodeId};

use super::message::{CallRequest, CallerConnection, PeerMessage};
use super::outbox::{Outbox, ProxyTimer};

/// How long a peer may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// What an answer is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// An exchange of settings.
    Exchange(ExchangeId),
    /// A question about a back end.
    Backend(BackendQuestion),
    /// A hand-over, whose answer says nothing.
    HandOver,
}

/// A question about a back end: to its owner first, then to its standby.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BackendQuestion {
    /// The back end.
    pub backend: BackendId,
    /// Whether the standby is asked.
    pub by_standby: bool,
    /// Who wants to know.
    pub asker: Asker,
}

/// Who wants to know a back end's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Asker {
    /// The fence of a primary held in a role.
    Fence((BackendId, OwnerRole), QuestionId),
    /// The search for a group's primary.
    Search(GroupId),
    /// The search for a new session's floor.
    Floor(CallerConnection),
}

/// A question under way.
#[derive(Debug)]
pub(super) struct OpenCall {
    /// Whom it went to.
    pub to: NodeId,
    /// What it is for.
    pub purpose: CallPurpose,
}

/// The questions under way.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    open: BTreeMap<u64, OpenCall>,
}

impl Calls {
    /// Asks a node.
    pub(super) fn ask(
        &mut self,
        to: NodeId,
        request: CallRequest,
        purpose: CallPurpose,
        out: &mut Outbox<'_>,
    ) {
        self.next += 1;
        let call = self.next;
        self.open.insert(call, OpenCall { to, purpose });
        out.peer(to, PeerMessage::Call(call, request));
        out.wake(out.now + CALL_TIMEOUT, ProxyTimer::Call(call));
    }

    /// Ends a question: it was answered, or is given up.
    pub(super) fn end(&mut self, call: u64) -> Option<OpenCall> {
        self.open.remove(&call)
    }

    /// The questions to a node, which will not be answered any more.
    pub(super) fn to_node(&self, node: NodeId) -> Vec<u64> {
        let open = self.open.iter();
        let lost = open.filter(|(_, call)| call.to == node);
        lost.map(|(call, _)| *call).collect()
    }
}
