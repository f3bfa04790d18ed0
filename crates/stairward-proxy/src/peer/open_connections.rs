//! All open connections to peers, whichever side opened them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stairward_types::NodeId;

use super::connection::Connection;
use crate::cluster::MembershipView;

/// Open connections by peer.
#[derive(Default)]
pub(super) struct OpenConnections {
    connections_by_peer: Mutex<BTreeMap<NodeId, Vec<Connection>>>,
}

impl OpenConnections {
    /// Adds a connection and removes closed ones to the same peer.
    pub(super) fn add(&self, peer: NodeId, connection: Connection) {
        let mut connections_by_peer = self.lock();
        let connections = connections_by_peer.entry(peer).or_default();
        connections.retain(|connection| !connection.is_closed());
        connections.push(connection);
    }

    /// Closes the connections to nodes that left the view or have a new incarnation in it. TCP may
    /// take minutes to detect that a machine failed without closing its connections.
    pub(super) fn close_lost(&self, before: &MembershipView, after: &MembershipView) {
        let lost = before.members.iter().filter(|member| {
            let current = after.member(member.node);
            current.is_none_or(|current| current.incarnation != member.incarnation)
        });
        let mut connections_by_peer = self.lock();
        for member in lost {
            let connections = connections_by_peer.remove(&member.node).unwrap_or_default();
            connections.iter().for_each(Connection::close);
        }
    }

    /// All connections.
    pub(super) fn all(&self) -> Vec<Connection> {
        self.lock().values().flatten().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Vec<Connection>>> {
        self.connections_by_peer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
