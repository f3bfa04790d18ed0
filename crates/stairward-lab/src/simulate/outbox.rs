//! What a simulated proxy wants done, collected while it handles an event.

use stairward_checker::{HistoryEvent, RequestId};
use stairward_pool::OwnerRole;
use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, GroupId, NodeId, Time};

use super::database::DatabaseRequest;
use super::message::{CallerConnection, PeerMessage, ProxyMessage, StoreRead};
use super::random::Random;

/// What a proxy wants to be woken for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ProxyTimer {
    /// Membership.
    Membership,
    /// Spreading of settings.
    Settings,
    /// A role at a back end.
    Claim(BackendId, OwnerRole),
    /// A request at the edge.
    Request(u64),
    /// A search for a group's primary.
    Search(GroupId),
    /// A short question that may have gone unanswered.
    Call(u64),
    /// A read of the store that may have gone unanswered.
    StoreRead(u64),
    /// The planned stop.
    Stop,
}

/// Something a proxy wants done.
#[derive(Debug)]
pub(super) enum Action {
    /// Send to another proxy, or to itself.
    Peer(NodeId, PeerMessage),
    /// Send to a database.
    Database(BackendId, ConnectionNumber, DatabaseRequest),
    /// Send to a caller.
    Caller(CallerConnection, Option<RequestId>, ProxyMessage),
    /// Read the store.
    Store(u64, StoreRead),
    /// Wake the proxy at a moment of its own clock.
    Wake(Time, ProxyTimer),
    /// Add to the history.
    Record(HistoryEvent),
    /// End the process.
    Exit,
}

/// Collects what a proxy wants done.
pub(super) struct Outbox<'a> {
    /// The moment by the proxy's own clock.
    pub now: Time,
    /// The run's randomness.
    pub random: &'a mut Random,
    /// The next unused connection number of the run.
    pub next_connection: &'a mut u64,
    /// What is wanted so far, in order.
    pub actions: Vec<Action>,
    /// Lines for the event log; none when it is not kept.
    pub log: Option<Vec<String>>,
}

impl Outbox<'_> {
    /// Sends to another proxy.
    pub(super) fn peer(&mut self, to: NodeId, message: PeerMessage) {
        self.actions.push(Action::Peer(to, message));
    }

    /// Sends to a database.
    pub(super) fn database(
        &mut self,
        backend: &BackendId,
        connection: ConnectionNumber,
        request: DatabaseRequest,
    ) {
        let action = Action::Database(backend.clone(), connection, request);
        self.actions.push(action);
    }

    /// Opens a connection to a database.
    pub(super) fn open_connection(
        &mut self,
        backend: &BackendId,
        application_name: String,
    ) -> ConnectionNumber {
        *self.next_connection += 1;
        let connection = ConnectionNumber(*self.next_connection);
        self.database(
            backend,
            connection,
            DatabaseRequest::Open { application_name },
        );
        connection
    }

    /// Sends to a caller.
    pub(super) fn caller(
        &mut self,
        to: CallerConnection,
        request: Option<RequestId>,
        message: ProxyMessage,
    ) {
        self.actions.push(Action::Caller(to, request, message));
    }

    /// Asks to be woken.
    pub(super) fn wake(&mut self, at: Time, timer: ProxyTimer) {
        if at != Time::NEVER {
            self.actions.push(Action::Wake(at, timer));
        }
    }

    /// Adds to the history.
    pub(super) fn record(&mut self, event: HistoryEvent) {
        self.actions.push(Action::Record(event));
    }

    /// Adds to the event log, if it is kept.
    pub(super) fn log(&mut self, line: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            log.push(line());
        }
    }
}
