//! Which nodes hold the connections to each service's back ends, as far as this node has been told.

use std::collections::BTreeMap;

use stairward_types::{NodeId, ServiceName, ZoneName};

/// A node that holds connections to a service's back ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Whether it is in the region of this node.
    pub is_same_region: bool,
    /// Its zone.
    pub zone: ZoneName,
}

/// The nodes that hold connections to one service's back ends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceHolders {
    /// The one that ranks first: it alone sends to the service's cold back ends. None where no node was named.
    pub first_ranked: Option<NodeId>,
    /// The node of the own region that is asked about the service's lead; none where this node asks itself.
    pub leadership_source: Option<NodeId>,
    /// All of them; empty where every node holds connections.
    pub holders: Vec<Holder>,
    /// All of them, nearest first, where this node is none of them; empty otherwise.
    pub forward_targets: Vec<NodeId>,
}

impl ServiceHolders {
    /// Whether statements may go to a node.
    fn names(&self, node: NodeId) -> bool {
        self.first_ranked == Some(node)
            || self.forward_targets.contains(&node)
            || self.holders.iter().any(|holder| holder.node == node)
    }
}

/// The holders of all services.
#[derive(Debug, Default)]
pub(crate) struct HolderDirectory {
    services: BTreeMap<ServiceName, ServiceHolders>,
}

impl HolderDirectory {
    /// Takes in the holders of a service. Returns whether this node has ceased to be one of them.
    pub fn set(&mut self, service: ServiceName, holders: ServiceHolders) -> bool {
        let is_held_by_others = !holders.forward_targets.is_empty();
        let before = self.services.insert(service, holders);
        is_held_by_others && before.is_none_or(|before| before.forward_targets.is_empty())
    }

    /// Whether statements may be forwarded to a node. Looks at all services: for what is asked seldom.
    pub fn is_holder(&self, node: NodeId) -> bool {
        self.services.values().any(|holders| holders.names(node))
    }

    /// Whether only other nodes hold a service's connections.
    pub fn is_held_by_others(&self, service: &ServiceName) -> bool {
        !self.forward_targets(service).is_empty()
    }

    /// The other nodes that alone hold a service's connections, nearest first; empty where this node is a holder.
    pub fn forward_targets(&self, service: &ServiceName) -> &[NodeId] {
        let holders = self.services.get(service);
        holders.map_or(&[], |holders| &holders.forward_targets)
    }

    /// All holders of a service; none where every node holds its connections.
    pub fn holders_of(&self, service: &ServiceName) -> Option<&[Holder]> {
        let holders = &self.services.get(service)?.holders;
        (!holders.is_empty()).then_some(holders)
    }

    /// The holder of a service that ranks first.
    pub fn first(&self, service: &ServiceName) -> Option<NodeId> {
        self.services.get(service)?.first_ranked
    }

    /// The node that is asked about a service's lead; none where this node asks itself.
    pub fn leadership_source(&self, service: &ServiceName) -> Option<NodeId> {
        self.services.get(service)?.leadership_source
    }
}
