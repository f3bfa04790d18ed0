//! Every open connection to a peer, whichever side made it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stairward_types::NodeId;

use super::connection::Connection;
use crate::cluster::MembershipView;

/// The open connections by peer.
#[derive(Default)]
pub(super) struct OpenConnections {
    by_peer: Mutex<BTreeMap<NodeId, Vec<Connection>>>,
}

impl OpenConnections {
    /// Adds a connection, and forgets those to the same peer that were lost.
    pub(super) fn add(&self, peer: NodeId, connection: Connection) {
        let mut by_peer = self.lock();
        let connections = by_peer.entry(peer).or_default();
        connections.retain(|connection| !connection.is_closed());
        connections.push(connection);
    }

    /// Closes the connections to nodes that have left the view, or live another life in it. The
    /// system may take minutes to notice that a machine has gone without a word.
    pub(super) fn close_lost(&self, before: &MembershipView, after: &MembershipView) {
        let lost = before.members.iter().filter(|member| {
            let same = after.member(member.node);
            same.is_none_or(|same| same.incarnation != member.incarnation)
        });
        let mut by_peer = self.lock();
        for member in lost {
            let connections = by_peer.remove(&member.node).unwrap_or_default();
            connections.iter().for_each(Connection::close);
        }
    }

    /// Every connection.
    pub(super) fn all(&self) -> Vec<Connection> {
        self.lock().values().flatten().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Vec<Connection>>> {
        self.by_peer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
