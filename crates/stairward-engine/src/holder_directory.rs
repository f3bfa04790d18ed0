//! Which nodes hold the connections to each service's back ends, as far as this node has been told.

use std::collections::BTreeMap;

use stairward_types::{NodeId, ServiceName, ZoneName};

/// A node that holds connections to a service's back ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Whether it is in the region of this node.
    pub is_near: bool,
    /// Its zone.
    pub zone: ZoneName,
}

/// The nodes that hold connections to one service's back ends.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceHolders {
    /// The one that ranks first: it alone sends to the service's cold back ends. None where no node was named.
    pub first: Option<NodeId>,
    /// The node of the own region that is asked about the service's lead; none where this node asks itself.
    pub lead_source: Option<NodeId>,
    /// All of them; empty where every node holds connections.
    pub places: Vec<Holder>,
    /// All of them, nearest first, where this node is none of them; empty otherwise.
    pub elsewhere: Vec<NodeId>,
}

impl ServiceHolders {
    /// Every node that statements may go to.
    fn nodes(&self) -> impl Iterator<Item = NodeId> {
        let places = self.places.iter().map(|holder| holder.node);
        let elsewhere = self.elsewhere.iter().copied();
        places.chain(elsewhere).chain(self.first)
    }
}

/// The holders of all services.
#[derive(Debug, Default)]
pub(crate) struct HolderDirectory {
    services: BTreeMap<ServiceName, ServiceHolders>,
    /// How often each node is named.
    named: BTreeMap<NodeId, usize>,
}

impl HolderDirectory {
    /// Takes in the holders of a service. Returns whether this node has ceased to be one of them.
    pub fn set(&mut self, service: ServiceName, holders: ServiceHolders) -> bool {
        for node in holders.nodes() {
            *self.named.entry(node).or_default() += 1;
        }
        let is_elsewhere = !holders.elsewhere.is_empty();
        let before = self.services.insert(service, holders);
        let was_elsewhere = before
            .as_ref()
            .is_some_and(|before| !before.elsewhere.is_empty());
        for node in before.iter().flat_map(ServiceHolders::nodes) {
            self.no_longer_named(node);
        }
        is_elsewhere && !was_elsewhere
    }

    fn no_longer_named(&mut self, node: NodeId) {
        if let Some(count) = self.named.get_mut(&node) {
            *count -= 1;
            if *count == 0 {
                self.named.remove(&node);
            }
        }
    }

    /// Whether statements may be forwarded to a node.
    pub fn is_holder(&self, node: NodeId) -> bool {
        self.named.contains_key(&node)
    }

    /// Whether only other nodes hold a service's connections.
    pub fn is_elsewhere(&self, service: &ServiceName) -> bool {
        !self.elsewhere(service).is_empty()
    }

    /// The other nodes that alone hold a service's connections, nearest first; empty where this node is a holder.
    pub fn elsewhere(&self, service: &ServiceName) -> &[NodeId] {
        let holders = self.services.get(service);
        holders.map_or(&[], |holders| &holders.elsewhere)
    }

    /// All holders of a service; none where every node holds its connections.
    pub fn places(&self, service: &ServiceName) -> Option<&[Holder]> {
        let places = &self.services.get(service)?.places;
        (!places.is_empty()).then_some(places)
    }

    /// The holder of a service that ranks first.
    pub fn first(&self, service: &ServiceName) -> Option<NodeId> {
        self.services.get(service)?.first
    }

    /// The node that is asked about a service's lead; none where this node asks itself.
    pub fn lead_source(&self, service: &ServiceName) -> Option<NodeId> {
        self.services.get(service)?.lead_source
    }
}
