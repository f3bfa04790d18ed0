//! The connections of a pool, their states and the requests they are lent to.

use std::collections::{BTreeMap, VecDeque};

use stairward_types::{Duration, Time};

use super::message::{ConnectionId, RequestId};

/// State of a connection that is not idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BusyState {
    Opening,
    Resetting,
    Closing,
    Lent(RequestId),
}

/// An idle connection.
#[derive(Debug, Clone, Copy)]
struct IdleConnection {
    connection: ConnectionId,
    since: Time,
}

/// All connections of a pool. A connection counts from the request to open it until it is known to be
/// closed.
#[derive(Debug, Default)]
pub(super) struct ConnectionSet {
    busy: BTreeMap<ConnectionId, BusyState>,
    /// Ordered by last use, most recent last.
    idle: VecDeque<IdleConnection>,
    next_number: u64,
}

impl ConnectionSet {
    /// Number of connections in any state.
    pub(super) fn total(&self) -> usize {
        self.busy.len() + self.idle.len()
    }

    /// Number of connections that are not being closed.
    pub(super) fn not_closing(&self) -> usize {
        self.total() - self.count(|state| matches!(state, BusyState::Closing))
    }

    /// Number of idle connections.
    pub(super) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// Number of connections being opened.
    pub(super) fn opening(&self) -> usize {
        self.count(|state| matches!(state, BusyState::Opening))
    }

    /// Number of connections being opened or reset, which become idle without being returned by a request.
    pub(super) fn becoming_idle(&self) -> usize {
        self.count(|state| matches!(state, BusyState::Opening | BusyState::Resetting))
    }

    fn count(&self, wanted: impl Fn(&BusyState) -> bool) -> usize {
        self.busy.values().filter(|state| wanted(state)).count()
    }

    /// Adds a connection that is being opened.
    pub(super) fn open(&mut self) -> ConnectionId {
        let connection = ConnectionId(self.next_number);
        self.next_number += 1;
        self.busy.insert(connection, BusyState::Opening);
        connection
    }

    /// Lends the most recently used idle connection.
    pub(super) fn lend(&mut self, request: RequestId) -> Option<ConnectionId> {
        let idle = self.idle.pop_back()?;
        self.busy.insert(idle.connection, BusyState::Lent(request));
        Some(idle.connection)
    }

    /// Marks a connection that was being opened or reset as idle. Returns false if it was in another state.
    pub(super) fn make_idle(&mut self, connection: ConnectionId, now: Time) -> bool {
        let was_becoming_idle = matches!(
            self.busy.get(&connection),
            Some(BusyState::Opening | BusyState::Resetting)
        );
        if was_becoming_idle {
            self.put_back(connection, now);
        }
        was_becoming_idle
    }

    /// Marks a lent connection as idle.
    pub(super) fn put_back(&mut self, connection: ConnectionId, now: Time) {
        if self.busy.remove(&connection).is_some() {
            self.idle.push_back(IdleConnection {
                connection,
                since: now,
            });
        }
    }

    /// Marks a connection as being reset.
    pub(super) fn start_reset(&mut self, connection: ConnectionId) {
        self.busy.insert(connection, BusyState::Resetting);
    }

    /// Marks a connection as being closed.
    pub(super) fn start_close(&mut self, connection: ConnectionId) {
        self.busy.insert(connection, BusyState::Closing);
    }

    /// Removes an idle connection that was unused for at least `pause`.
    pub(super) fn take_unused(&mut self, now: Time, pause: Duration) -> Option<ConnectionId> {
        let oldest = self.idle.front().filter(|idle| idle.since + pause <= now)?;
        let connection = oldest.connection;
        self.idle.pop_front();
        Some(connection)
    }

    /// Removes the least recently used idle connection.
    pub(super) fn take_idle(&mut self) -> Option<ConnectionId> {
        self.idle.pop_front().map(|idle| idle.connection)
    }

    /// Last use of the least recently used idle connection.
    pub(super) fn oldest_idle(&self) -> Option<Time> {
        self.idle.front().map(|idle| idle.since)
    }

    /// Removes a closed connection.
    pub(super) fn remove(&mut self, connection: ConnectionId) {
        self.busy.remove(&connection);
        self.idle.retain(|idle| idle.connection != connection);
    }
}
