//! Which connections exist, in which state, and to whom they are lent.

use std::collections::{BTreeMap, VecDeque};

use stairward_types::{Duration, Time};

use super::message::{ConnectionId, RequestId};

/// The state of a connection that exists and is not idle.
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

/// All connections of a pool. A connection counts from the moment it is to be opened until it is
/// known to be closed.
#[derive(Debug, Default)]
pub(super) struct ConnectionSet {
    busy: BTreeMap<ConnectionId, BusyState>,
    /// The most recently used one last.
    idle: VecDeque<IdleConnection>,
    next_number: u64,
}

impl ConnectionSet {
    /// How many connections exist, in any state.
    pub(super) fn total(&self) -> usize {
        self.busy.len() + self.idle.len()
    }

    /// How many connections exist and are not being closed.
    pub(super) fn staying(&self) -> usize {
        self.total() - self.count(|state| matches!(state, BusyState::Closing))
    }

    /// How many connections are idle.
    pub(super) fn idle(&self) -> usize {
        self.idle.len()
    }

    /// How many connections are being opened.
    pub(super) fn opening(&self) -> usize {
        self.count(|state| matches!(state, BusyState::Opening))
    }

    /// How many connections will be idle soon without anyone giving one back.
    pub(super) fn coming(&self) -> usize {
        self.count(|state| matches!(state, BusyState::Opening | BusyState::Resetting))
    }

    fn count(&self, wanted: impl Fn(&BusyState) -> bool) -> usize {
        self.busy.values().filter(|state| wanted(state)).count()
    }

    /// Begins to open a connection.
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

    /// Makes a connection that was being opened or reset idle. False when it wasn't.
    pub(super) fn make_idle(&mut self, connection: ConnectionId, now: Time) -> bool {
        let comes = matches!(
            self.busy.get(&connection),
            Some(BusyState::Opening | BusyState::Resetting)
        );
        if comes {
            self.put_back(connection, now);
        }
        comes
    }

    /// Makes a lent connection idle.
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

    /// Takes an idle connection out that was not used for so long.
    pub(super) fn take_unused(&mut self, now: Time, pause: Duration) -> Option<ConnectionId> {
        let oldest = self.idle.front().filter(|idle| idle.since + pause <= now)?;
        let connection = oldest.connection;
        self.idle.pop_front();
        Some(connection)
    }

    /// Takes any idle connection out, the least recently used first.
    pub(super) fn take_idle(&mut self) -> Option<ConnectionId> {
        self.idle.pop_front().map(|idle| idle.connection)
    }

    /// Since when the least recently used idle connection is unused.
    pub(super) fn oldest_idle(&self) -> Option<Time> {
        self.idle.front().map(|idle| idle.since)
    }

    /// Forgets a connection that no longer exists.
    pub(super) fn remove(&mut self, connection: ConnectionId) {
        self.busy.remove(&connection);
        self.idle.retain(|idle| idle.connection != connection);
    }
}
