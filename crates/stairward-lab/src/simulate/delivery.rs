//! The messages of a run: when each arrives, and at whom.

use stairward_checker::RequestId;
use stairward_standins::ConnectionNumber;
use stairward_types::{BackendId, GroupId, NodeId};

use super::database::{DatabaseReply, DatabaseRequest};
use super::message::{
    CallerConnection, CallerMessage, PeerMessage, ProxyMessage, StoreAnswered, StoreRead,
};
use super::network::{End, Network};
use super::proxy::ProxyInput;
use super::store::Reader;
use super::world::{World, WorldEvent};

impl World<'_> {
    pub(super) fn send_peer(&mut self, from: usize, to: NodeId, message: PeerMessage) {
        let Some(to) = self.proxy_at(to) else {
            return;
        };
        let (source, target) = (End::Proxy(from), End::Proxy(to));
        if !self.network.connected(source, target) {
            return;
        }
        let now = self.queue.now();
        let is_ordered =
            !matches!(message, PeerMessage::Membership(_)) && !self.network.is_unsteady;
        let life = self.proxies[to].life;
        let node = self.proxies[from].node;
        if source != target && self.network.is_doubled(&mut self.random) {
            let network = &self.network;
            let again = network.unordered_arrival(now, source, target, &mut self.random);
            let input = ProxyInput::Peer(node, message.clone());
            self.queue
                .at(again, WorldEvent::Proxy(to, life, Box::new(input)));
        }
        let arrives = if is_ordered {
            self.network.arrival(now, source, target, &mut self.random)
        } else {
            let network = &self.network;
            network.unordered_arrival(now, source, target, &mut self.random)
        };
        let input = ProxyInput::Peer(node, message);
        self.queue
            .at(arrives, WorldEvent::Proxy(to, life, Box::new(input)));
    }

    pub(super) fn send_database(
        &mut self,
        proxy: usize,
        backend: &BackendId,
        connection: ConnectionNumber,
        request: DatabaseRequest,
    ) {
        let Some(target) = Network::database_end(&self.layout, backend) else {
            return;
        };
        let source = End::Proxy(proxy);
        let is_close = matches!(request, DatabaseRequest::Close);
        // The end of a connection arrives in the end, also across a cut.
        if !is_close && !self.network.connected(source, target) {
            return;
        }
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let event = WorldEvent::Database(backend.clone(), connection, Box::new(request));
        self.queue.at(arrives, event);
    }

    pub(super) fn send_database_reply(
        &mut self,
        backend: BackendId,
        connection: ConnectionNumber,
        reply: DatabaseReply,
    ) {
        let Some((_, link)) = self.links.get(&connection).cloned() else {
            return;
        };
        let Some(source) = Network::database_end(&self.layout, &backend) else {
            return;
        };
        let target = End::Proxy(link.proxy);
        let is_closed = matches!(reply, DatabaseReply::Closed);
        if !is_closed && !self.network.connected(source, target) {
            return;
        }
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let input = ProxyInput::Database(connection, reply);
        let event = WorldEvent::Proxy(link.proxy, link.life, Box::new(input));
        self.queue.at(arrives, event);
    }

    pub(super) fn send_caller(
        &mut self,
        proxy: usize,
        connection: CallerConnection,
        request: Option<RequestId>,
        message: ProxyMessage,
    ) {
        let source = End::Proxy(proxy);
        let target = End::Caller(connection.session.0);
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let event = WorldEvent::Caller(connection, request, Box::new(message));
        self.queue.at(arrives, event);
    }

    /// Sends a caller's message to a proxy.
    pub(super) fn send_from_caller(
        &mut self,
        proxy: usize,
        connection: CallerConnection,
        group: GroupId,
        message: CallerMessage,
    ) {
        let source = End::Caller(connection.session.0);
        let target = End::Proxy(proxy);
        let now = self.queue.now();
        let arrives = self.network.arrival(now, source, target, &mut self.random);
        let life = self.proxies[proxy].life;
        let input = ProxyInput::Caller(connection, group, message);
        let event = WorldEvent::Proxy(proxy, life, Box::new(input));
        self.queue.at(arrives, event);
    }

    /// Sends the store's answer to a reader.
    pub(super) fn send_store_answer(&mut self, reader: Reader, answer: StoreAnswered) {
        let target = End::Proxy(reader.proxy);
        if !self.network.connected(End::Store, target) {
            return;
        }
        let now = self.queue.now();
        let arrives = self
            .network
            .arrival(now, End::Store, target, &mut self.random);
        let input = ProxyInput::Store(reader.read, answer);
        let event = WorldEvent::Proxy(reader.proxy, reader.life, Box::new(input));
        self.queue.at(arrives, event);
    }

    pub(super) fn send_store(&mut self, reader: Reader, request: StoreRead) {
        let source = End::Proxy(reader.proxy);
        if !self.network.connected(source, End::Store) {
            return;
        }
        let now = self.queue.now();
        let arrives = self
            .network
            .arrival(now, source, End::Store, &mut self.random);
        self.queue
            .at(arrives, WorldEvent::StoreRead(reader, request));
    }
}
