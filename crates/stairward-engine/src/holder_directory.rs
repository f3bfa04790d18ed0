//! The nodes that hold the connections to each service's back ends, as reported by the membership view.

use std::collections::BTreeMap;

use stairward_types::{NodeId, ServiceName, ZoneName};

/// A node that holds connections to a service's back ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Whether it is in this node's region.
    pub is_same_region: bool,
    /// Its zone.
    pub zone: ZoneName,
}

/// The nodes that hold connections to one service's back ends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceHolders {
    /// The first-ranked holder, which alone sends to the service's cold back ends. None if no holder is
    /// known.
    pub first_ranked: Option<NodeId>,
    /// The node of this region that is queried for the service's leadership; none if this node queries the
    /// members itself.
    pub leadership_source: Option<NodeId>,
    /// All holders; empty if every node holds connections.
    pub holders: Vec<Holder>,
    /// All holders, nearest first, if this node is not one of them; empty otherwise.
    pub forward_targets: Vec<NodeId>,
}

impl ServiceHolders {
    /// Whether statements may be forwarded to a node.
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
    /// Sets the holders of a service. Returns whether this node has ceased to be one of them.
    pub fn set(&mut self, service: ServiceName, holders: ServiceHolders) -> bool {
        let is_held_by_others = !holders.forward_targets.is_empty();
        let before = self.services.insert(service, holders);
        is_held_by_others && before.is_none_or(|before| before.forward_targets.is_empty())
    }

    /// Whether statements of any service may be forwarded to a node. Checks all services, so it is meant for
    /// rare calls.
    pub fn is_holder(&self, node: NodeId) -> bool {
        self.services.values().any(|holders| holders.names(node))
    }

    /// Whether a service's connections are held by other nodes only.
    pub fn is_held_by_others(&self, service: &ServiceName) -> bool {
        !self.forward_targets(service).is_empty()
    }

    /// The holders of a service, nearest first, if this node is not one of them; empty otherwise.
    pub fn forward_targets(&self, service: &ServiceName) -> &[NodeId] {
        let holders = self.services.get(service);
        holders.map_or(&[], |holders| &holders.forward_targets)
    }

    /// All holders of a service; none if every node holds its connections.
    pub fn holders_of(&self, service: &ServiceName) -> Option<&[Holder]> {
        let holders = &self.services.get(service)?.holders;
        (!holders.is_empty()).then_some(holders)
    }

    /// The first-ranked holder of a service.
    pub fn first(&self, service: &ServiceName) -> Option<NodeId> {
        self.services.get(service)?.first_ranked
    }

    /// The node that is queried for a service's leadership; none if this node queries the members itself.
    pub fn leadership_source(&self, service: &ServiceName) -> Option<NodeId> {
        self.services.get(service)?.leadership_source
    }
}
