//! Links between nodes: they carry statements forwarded to connection holders, feeds, documents for nodes that do not
//! read the store, and requests of the failover and limit protocols.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rand::seq::IndexedRandom as _;
use stairward_engine::{Event, ForwardedRequest, Response, SessionId};
use stairward_membership::PeerClock;
use stairward_protocol::node_message::{ForwardedStatement, LimitRequest, NodeMessage};
use stairward_protocol::{OptionalFreshness, Text};
use stairward_types::{BackendId, Freshness, LogEvent, NodeId, ServiceName, Term, Time};
use tokio::net::{TcpListener, TcpStream};

use crate::limit_messages::{decode_ask, decode_grant, encode_grant};
use crate::node::Node;
use crate::peer_link::{MessageReader, connect, frame};
use crate::socket::Outgoing;
use crate::statement_messages::{decode_answer, decode_statement, encode_answer, encode_statement};
use crate::traffic::{OpeningKind, TrafficKind};
use crate::wire::Wire;

/// Number of peers queried at once for a leader's log position.
const POSITION_PEERS: usize = 2;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An outgoing link to another node.
pub(crate) enum Link {
    /// Being connected; holds the bytes to send once it is open.
    Opening(BytesMut),
    /// Connected.
    Open(Rc<Outgoing>),
}

/// A session of another node that forwards statements to this one.
pub(crate) struct RemoteSession {
    outgoing: Rc<Outgoing>,
    session: u64,
    /// The number of the request that is not answered yet.
    request: Option<u64>,
}

/// Sessions of other nodes, by local session id and by link and remote session id.
#[derive(Default)]
pub(crate) struct RemoteSessions {
    by_local_id: BTreeMap<SessionId, RemoteSession>,
    by_remote_id: BTreeMap<(u64, u64), SessionId>,
    last_link: u64,
}

impl RemoteSessions {
    /// Whether a session of another node waits for an answer.
    fn is_unanswered(&self, link: u64, remote_id: u64) -> bool {
        let own = self.by_remote_id.get(&(link, remote_id));
        own.and_then(|own| self.by_local_id.get(own))
            .is_some_and(|remote_session| remote_session.request.is_some())
    }
}

impl<W: Wire> Node<W> {
    /// Accepts links from other nodes. Never returns.
    pub async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve_peer(stream));
                }
                Err(error) => {
                    tracing::warn!(event = LogEvent::ListenerFailed.number(), %error);
                    Self::pause(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_peer(self: Rc<Self>, stream: TcpStream) {
        let link = {
            let mut remote_sessions = self.remote_sessions.borrow_mut();
            remote_sessions.last_link += 1;
            remote_sessions.last_link
        };
        self.traffic.opened(OpeningKind::Accepted);
        let (reading, outgoing) = Outgoing::split_answering(stream, &self.unsent);
        let mut reader = MessageReader::new(reading);
        while let Some(message) = reader.next().await {
            let kind = TrafficKind::of(&message);
            self.traffic.received(kind, reader.last_length());
            if !self.handle_peer_message(link, &outgoing, message).await {
                break;
            }
        }
        self.traffic.accepted_ended();
        self.close_remote_sessions_of(link);
        self.remove_followers_of_link(link);
    }

    /// Handles a message of another node and sends the reply, if any. Returns false if the link must be closed.
    async fn handle_peer_message(
        self: &Rc<Self>,
        link: u64,
        outgoing: &Rc<Outgoing>,
        message: NodeMessage,
    ) -> bool {
        let answer = match message {
            NodeMessage::QueryDocument { name } => Some(self.document_reply(name)),
            NodeMessage::Forward(message) => {
                return self.handle_forwarded(link, outgoing, &message);
            }
            NodeMessage::CloseSession { session } => {
                self.close_remote_session(link, session);
                None
            }
            NodeMessage::QueryPosition {
                service,
                asked_at_microseconds,
            } => Some(self.position_reply(service, asked_at_microseconds)),
            NodeMessage::SubscribeFeed { name, known } => {
                self.add_follower(link, outgoing, &name, known);
                None
            }
            NodeMessage::UnsubscribeFeed { name } => {
                self.remove_follower(link, &name);
                None
            }
            NodeMessage::FeedApplied { name, held } => {
                self.follower_applied(link, &name, held);
                None
            }
            NodeMessage::Ping => Some(NodeMessage::Pong),
            NodeMessage::QueryClock {
                asked_at_microseconds,
            } => Some(NodeMessage::Clock {
                asked_at_microseconds,
                answered_at_microseconds: self.now().0,
            }),
            NodeMessage::QueryLeader {
                service,
                asked_at_microseconds,
            } => self.lead_reply(service, asked_at_microseconds),
            NodeMessage::RequestLimit(message) => match self.limit_reply(&message) {
                Some(answer) => Some(answer),
                None => return false,
            },
            NodeMessage::RevokeLeader { service, term } => {
                let Ok(service) = ServiceName::new(service.as_str()) else {
                    return false;
                };
                let newest = self.revoke_older_terms(&service, Term(term));
                Some(NodeMessage::LeaderRevoked { newest: newest.0 })
            }
            NodeMessage::SilentBackends { node, backends, .. } => {
                let ids = backends
                    .iter()
                    .filter_map(|id| BackendId::new(id.as_str()).ok());
                let silent = ids.collect();
                let suspicion = stairward_failover::Event::Suspicion(NodeId(node), silent);
                self.handle_failover_event(suspicion);
                None
            }
            NodeMessage::ConfirmSilentBackend { node, backend } => {
                if let Ok(backend) = BackendId::new(backend.as_str()) {
                    let verified = stairward_failover::Event::Verified(NodeId(node), backend);
                    self.handle_failover_event(verified);
                }
                None
            }
            NodeMessage::PromotionEnded { service } => {
                if let Ok(service) = ServiceName::new(service.as_str()) {
                    self.handle(Event::PromotionEnded(service));
                }
                None
            }
            NodeMessage::AnnouncePromotion(message) => {
                self.handle_announced_promotion(&message);
                None
            }
            NodeMessage::QueryPromotions => Some(self.promotions_reply()),
            NodeMessage::ForwardMemberRequest(question) => {
                match self.answer_relayed_request(&question).await {
                    Some(answer) => Some(answer),
                    None => return false,
                }
            }
            NodeMessage::Document { .. }
            | NodeMessage::LeaderStatus { .. }
            | NodeMessage::LeaderRevoked { .. }
            | NodeMessage::Promotions { .. }
            | NodeMessage::MemberReply(_)
            | NodeMessage::GrantLimit(_)
            | NodeMessage::Pong
            | NodeMessage::Clock { .. }
            | NodeMessage::FeedState(_)
            | NodeMessage::Position { .. }
            | NodeMessage::Answer(_) => return false,
        };
        answer.is_none_or(|answer| self.send_message(outgoing, &answer))
    }

    /// Sends a message over a link. Returns false if the link has failed.
    pub(crate) fn send_message(&self, outgoing: &Rc<Outgoing>, message: &NodeMessage) -> bool {
        let bytes = frame(message);
        self.traffic.sent(TrafficKind::of(message), bytes.len());
        outgoing.send(&bytes).is_ok()
    }

    fn document_reply(&self, name: Text) -> NodeMessage {
        let content = self
            .feeds
            .compressed_snapshot(name.as_str())
            .unwrap_or_default();
        NodeMessage::Document {
            name,
            content: content.into(),
        }
    }

    /// Runs a statement for a session of another node. Returns false if the message is malformed.
    fn handle_forwarded(
        self: &Rc<Self>,
        link: u64,
        outgoing: &Rc<Outgoing>,
        message: &ForwardedStatement,
    ) -> bool {
        let Some(forwarded) = decode_statement(message) else {
            return false;
        };
        let session = self.remote_session(link, outgoing, message.session, message.request);
        self.handle(Event::ForwardedRequest {
            session,
            forwarded: Box::new(forwarded),
        });
        true
    }

    /// Returns the local id of another node's session and records its current request. A request that follows an
    /// unanswered one gets a session of its own, since the other node has given the earlier one up.
    fn remote_session(
        self: &Rc<Self>,
        link: u64,
        outgoing: &Rc<Outgoing>,
        remote_id: u64,
        request: u64,
    ) -> SessionId {
        let is_unanswered = self.remote_sessions.borrow().is_unanswered(link, remote_id);
        if is_unanswered {
            self.close_remote_session(link, remote_id);
        }
        let mut remote_sessions = self.remote_sessions.borrow_mut();
        let known = remote_sessions
            .by_remote_id
            .get(&(link, remote_id))
            .copied();
        let own = known.unwrap_or_else(|| self.next_session());
        remote_sessions.by_remote_id.insert((link, remote_id), own);
        let remote_session = RemoteSession {
            outgoing: Rc::clone(outgoing),
            session: remote_id,
            request: Some(request),
        };
        remote_sessions.by_local_id.insert(own, remote_session);
        own
    }

    fn close_remote_session(self: &Rc<Self>, link: u64, remote_id: u64) {
        let own = {
            let mut remote_sessions = self.remote_sessions.borrow_mut();
            let own = remote_sessions.by_remote_id.remove(&(link, remote_id));
            if let Some(own) = &own {
                remote_sessions.by_local_id.remove(own);
            }
            own
        };
        if let Some(session) = own {
            self.handle(Event::SessionClosed { session });
        }
    }

    fn close_remote_sessions_of(self: &Rc<Self>, link: u64) {
        let remote_id: Vec<u64> = {
            let remote_sessions = self.remote_sessions.borrow();
            let of_link = remote_sessions
                .by_remote_id
                .range((link, 0)..=(link, u64::MAX));
            of_link.map(|((_, remote_id), _)| *remote_id).collect()
        };
        for session in remote_id {
            self.close_remote_session(link, session);
        }
    }

    /// Sends a response to the node that forwarded the statement, if one is unanswered. Returns it unsent if the session
    /// is local.
    pub(crate) fn answer_remote_session(
        &self,
        session: SessionId,
        response: Response,
    ) -> Option<Response> {
        let mut remote_sessions = self.remote_sessions.borrow_mut();
        let Some(remote_session) = remote_sessions.by_local_id.get_mut(&session) else {
            return Some(response);
        };
        let request = remote_session.request.take()?;
        let answer = encode_answer(remote_session.session, request, response);
        // A failed link is cleaned up by the task that reads it.
        let _ = self.send_message(&remote_session.outgoing, &NodeMessage::Answer(answer));
        None
    }

    /// Removes another node's idle session after the engine has closed it.
    pub(crate) fn forget_remote_session(&self, session: SessionId) {
        let mut remote_sessions = self.remote_sessions.borrow_mut();
        if remote_sessions.by_local_id.remove(&session).is_some() {
            remote_sessions
                .by_remote_id
                .retain(|_, own| *own != session);
        }
    }

    /// Forwards a statement to a connection holder.
    pub(crate) fn forward(
        self: &Rc<Self>,
        holder: NodeId,
        session: SessionId,
        request: u64,
        forwarded: ForwardedRequest,
    ) {
        if let Some(message) = encode_statement(session.0, request, forwarded) {
            self.send_to_peer(holder, &NodeMessage::Forward(message));
        }
    }

    /// Tells a connection holder that a session has ended.
    pub(crate) fn close_forwarded(self: &Rc<Self>, holder: NodeId, session: SessionId) {
        if self.links.borrow().contains_key(&holder) {
            let message = NodeMessage::CloseSession { session: session.0 };
            self.send_to_peer(holder, &message);
        }
    }

    pub(crate) fn send_to_peer(self: &Rc<Self>, holder: NodeId, message: &NodeMessage) {
        let bytes = frame(message);
        self.traffic.sent(TrafficKind::of(message), bytes.len());
        let node = Rc::clone(self);
        let mut links = self.links.borrow_mut();
        match links.get_mut(&holder) {
            Some(Link::Opening(waiting)) => waiting.extend_from_slice(&bytes),
            Some(Link::Open(outgoing)) => {
                if outgoing.send(&bytes).is_err() {
                    tokio::task::spawn_local(async move { node.handle_link_lost(holder) });
                }
            }
            None => {
                links.insert(holder, Link::Opening(bytes));
                tokio::task::spawn_local(node.run_link(holder));
            }
        }
    }

    async fn run_link(self: Rc<Self>, holder: NodeId) {
        let address = self
            .members
            .borrow()
            .iter()
            .find(|member| member.node == holder)
            .map(|member| member.address);
        self.traffic.opened(OpeningKind::PeerLink);
        let connected = match address {
            Some(address) => connect(address).await,
            None => None,
        };
        let Some((mut reader, outgoing)) = connected else {
            return self.handle_link_lost(holder);
        };
        let opened = Link::Open(Rc::clone(&outgoing));
        let waiting = self.links.borrow_mut().insert(holder, opened);
        if let Some(Link::Opening(waiting)) = waiting
            && outgoing.send(&waiting).is_err()
        {
            return self.handle_link_lost(holder);
        }
        tracing::info!(event = LogEvent::PeerConnected.number(), holder = holder.0);
        while let Some(message) = reader.next().await {
            let kind = TrafficKind::of(&message);
            self.traffic.received(kind, reader.last_length());
            match message {
                NodeMessage::Answer(answer) => {
                    let (session, request) = (SessionId(answer.session), answer.request);
                    self.handle(Event::ForwardAnswered {
                        holder,
                        session,
                        request,
                        response: decode_answer(answer),
                    });
                }
                NodeMessage::Position {
                    service,
                    asked_at_microseconds,
                    position,
                    age_microseconds,
                } => {
                    let age = Duration::from_micros(age_microseconds);
                    let asked_at = Time(asked_at_microseconds);
                    self.handle_position(&service, position.into(), asked_at, age);
                }
                NodeMessage::LeaderStatus {
                    service,
                    asked_at_microseconds,
                    possible_term,
                    age_microseconds,
                } => {
                    if let Ok(service) = ServiceName::new(service.as_str()) {
                        self.handle(Event::PeerLeadership {
                            service,
                            possible_term: Term(possible_term),
                            asked_at: Time(asked_at_microseconds),
                            age: Duration::from_micros(age_microseconds),
                        });
                    }
                }
                NodeMessage::GrantLimit(message) => {
                    let Some(grant) = decode_grant(&message) else {
                        break;
                    };
                    self.handle(Event::LimitGranted(holder, grant));
                }
                NodeMessage::Pong => self.handle(Event::HolderAlive(holder)),
                NodeMessage::Clock {
                    asked_at_microseconds,
                    answered_at_microseconds,
                } => {
                    let (asked, told) =
                        (Time(asked_at_microseconds), Time(answered_at_microseconds));
                    self.feeds
                        .set_source_clock(holder, PeerClock::new(asked, told));
                }
                NodeMessage::FeedState(message) => self.handle_source_answer(holder, message),
                _ => break,
            }
        }
        self.handle_link_lost(holder);
    }

    /// Queries randomly chosen peers for the proved log position of a service's leader.
    pub(crate) fn query_positions(self: &Rc<Self>, service: &ServiceName) {
        let others: Vec<NodeId> = {
            let members = self.members.borrow();
            let nodes = members.iter().map(|member| member.node);
            nodes.filter(|node| *node != self.peer.node).collect()
        };
        let message = NodeMessage::QueryPosition {
            service: Text::new(service.as_str()),
            asked_at_microseconds: self.now().0,
        };
        for peer in others.sample(&mut rand::rng(), POSITION_PEERS) {
            self.send_to_peer(*peer, &message);
        }
    }

    fn position_reply(&self, service: Text, asked_at_microseconds: u64) -> NodeMessage {
        let name = ServiceName::new(service.as_str()).ok();
        let proved = name.and_then(|name| self.proved_position(&name));
        let (position, age) = proved.unzip();
        let age = age.unwrap_or_default().as_micros();
        NodeMessage::Position {
            service,
            asked_at_microseconds,
            position: OptionalFreshness::from(position),
            age_microseconds: u64::try_from(age).unwrap_or(u64::MAX),
        }
    }

    /// Queries another node for the newest term of a service that it knows may have begun.
    pub(crate) fn query_lead(self: &Rc<Self>, holder: NodeId, service: &ServiceName) {
        let message = NodeMessage::QueryLeader {
            service: Text::new(service.as_str()),
            asked_at_microseconds: self.now().0,
        };
        self.send_to_peer(holder, &message);
    }

    /// Answers a request for tenant limits, as coordinator; none if the message is malformed.
    fn limit_reply(&self, message: &LimitRequest) -> Option<NodeMessage> {
        let (node, ask) = decode_ask(message)?;
        let grant = self.grant_limit(node, &ask);
        Some(NodeMessage::GrantLimit(encode_grant(grant)))
    }

    /// The newest term of a service that may have begun; none if unknown. The engine keeps it up to date from now on.
    fn lead_reply(
        self: &Rc<Self>,
        service: Text,
        asked_at_microseconds: u64,
    ) -> Option<NodeMessage> {
        let name = ServiceName::new(service.as_str()).ok()?;
        self.handle(Event::LeadershipQueried(name.clone()));
        let (possible, age) = self.known_lead(&name)?;
        Some(NodeMessage::LeaderStatus {
            service,
            asked_at_microseconds,
            possible_term: possible.0,
            age_microseconds: u64::try_from(age.as_micros()).unwrap_or(u64::MAX),
        })
    }

    fn handle_position(
        self: &Rc<Self>,
        service: &Text,
        position: Option<Freshness>,
        asked_at: Time,
        age: Duration,
    ) {
        let service = ServiceName::new(service.as_str()).ok();
        if let (Some(service), Some(freshness)) = (service, position) {
            self.handle(Event::PeerPosition {
                service,
                freshness,
                asked_at,
                age,
            });
        }
    }

    fn handle_link_lost(self: &Rc<Self>, holder: NodeId) {
        let link = self.links.borrow_mut().remove(&holder);
        if let Some(link) = link {
            tracing::warn!(event = LogEvent::PeerLost.number(), holder = holder.0);
            match link {
                Link::Open(outgoing) => {
                    outgoing.close();
                    self.handle(Event::HolderLost(holder));
                }
                Link::Opening(_) => self.handle(Event::HolderUnreachable(holder)),
            }
            self.handle_source_lost(holder);
        }
    }
}
