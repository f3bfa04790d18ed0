//! Links between nodes: statements forwarded to holders of connections, and documents for a node that
//! can't read the store or leaves that to others.

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

use crate::limit_messages::{ask_of, grant_message, grant_of};
use crate::neighbour_link::{MessageReader, connect, frame};
use crate::neighbour_messages::{answer_message, forwarded_of, response_of, statement_message};
use crate::node::Node;
use crate::socket::Outgoing;
use crate::traffic::{OpeningKind, TrafficKind};
use crate::wire::Wire;

/// Peers asked at once for a position.
const PEERS_ASKED: usize = 2;
/// Pause after a link could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A link to a holder.
pub(crate) enum Link {
    /// It is being made; these bytes wait.
    Opening(BytesMut),
    /// It can be written to.
    Open(Rc<Outgoing>),
}

/// A session of another node whose statements run here.
pub(crate) struct Guest {
    outgoing: Rc<Outgoing>,
    session: u64,
    request: u64,
}

/// Sessions of other nodes, by both numbers.
#[derive(Default)]
pub(crate) struct Guests {
    by_own: BTreeMap<SessionId, Guest>,
    by_theirs: BTreeMap<(u64, u64), SessionId>,
    last_link: u64,
}

impl<W: Wire> Node<W> {
    /// Accepts links of other nodes. Runs for ever.
    pub async fn accept_peers(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve_neighbour(stream));
                }
                Err(error) => {
                    tracing::warn!(event = LogEvent::ListenerFailed.number(), %error);
                    Self::pause(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_neighbour(self: Rc<Self>, stream: TcpStream) {
        let link = {
            let mut guests = self.guests.borrow_mut();
            guests.last_link += 1;
            guests.last_link
        };
        self.traffic.opened(OpeningKind::Accepted);
        let (reading, outgoing) = Outgoing::split(stream);
        let mut reader = MessageReader::new(reading);
        while let Some(message) = reader.next().await {
            let kind = TrafficKind::of(&message);
            self.traffic.received(kind, reader.last_length());
            if !self.take_message(link, &outgoing, message).await {
                break;
            }
        }
        self.traffic.accepted_ended();
        self.close_guests_of(link);
        self.follower_link_lost(link);
    }

    /// Takes a message of another node in, and answers it where it is a question. False when the link is to end.
    async fn take_message(
        self: &Rc<Self>,
        link: u64,
        outgoing: &Rc<Outgoing>,
        message: NodeMessage,
    ) -> bool {
        let answer = match message {
            NodeMessage::QueryDocument { name } => Some(self.document_answer(name)),
            NodeMessage::Forward(message) => {
                return self.take_forwarded(link, outgoing, &message);
            }
            NodeMessage::CloseSession { session } => {
                self.close_guest(link, session);
                None
            }
            NodeMessage::QueryPosition {
                service,
                asked_at_microseconds,
            } => Some(self.position_answer(service, asked_at_microseconds)),
            NodeMessage::SubscribeFeed { name, known } => {
                self.follower_asked(link, outgoing, &name, known);
                None
            }
            NodeMessage::UnsubscribeFeed { name } => {
                self.follower_left(link, &name);
                None
            }
            NodeMessage::FeedApplied { name, held } => {
                self.follower_took(link, &name, held);
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
            } => self.lead_answer(service, asked_at_microseconds),
            NodeMessage::RequestLimit(message) => match self.limit_answer(&message) {
                Some(answer) => Some(answer),
                None => return false,
            },
            NodeMessage::RevokeLeader { service, term } => {
                let Ok(service) = ServiceName::new(service.as_str()) else {
                    return false;
                };
                let newest = self.believe_from(&service, Term(term));
                Some(NodeMessage::LeaderRevoked { newest: newest.0 })
            }
            NodeMessage::SilentBackends { node, backends, .. } => {
                let ids = backends
                    .iter()
                    .filter_map(|id| BackendId::new(id.as_str()).ok());
                let silent = ids.collect();
                let suspicion = stairward_failover::Event::Suspicion(NodeId(node), silent);
                self.tell_duty(suspicion);
                None
            }
            NodeMessage::ConfirmSilentBackend { node, backend } => {
                if let Ok(backend) = BackendId::new(backend.as_str()) {
                    let verified = stairward_failover::Event::Verified(NodeId(node), backend);
                    self.tell_duty(verified);
                }
                None
            }
            NodeMessage::PromotionEnded { service } => {
                if let Ok(service) = ServiceName::new(service.as_str()) {
                    self.handle(Event::PromotionEnded(service));
                }
                None
            }
            NodeMessage::ForwardMemberRequest(question) => match self.ask_for_peer(&question).await
            {
                Some(answer) => Some(answer),
                None => return false,
            },
            NodeMessage::Document { .. }
            | NodeMessage::LeaderStatus { .. }
            | NodeMessage::LeaderRevoked { .. }
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

    /// Sends a message over a link; false when the link has failed.
    pub(crate) fn send_message(&self, outgoing: &Rc<Outgoing>, message: &NodeMessage) -> bool {
        let bytes = frame(message);
        self.traffic.sent(TrafficKind::of(message), bytes.len());
        outgoing.send(&bytes).is_ok()
    }

    fn document_answer(&self, name: Text) -> NodeMessage {
        let content = self.feeds.packed(name.as_str()).unwrap_or_default();
        NodeMessage::Document {
            name,
            content: content.into(),
        }
    }

    /// Runs a statement for a session of another node. False when it is not understood.
    fn take_forwarded(
        self: &Rc<Self>,
        link: u64,
        outgoing: &Rc<Outgoing>,
        message: &ForwardedStatement,
    ) -> bool {
        let Some(forwarded) = forwarded_of(message) else {
            return false;
        };
        let session = self.guest(link, outgoing, message.session, message.request);
        self.handle(Event::ForwardedRequest {
            session,
            forwarded: Box::new(forwarded),
        });
        true
    }

    /// The own number of another node's session, with its request under way.
    fn guest(&self, link: u64, outgoing: &Rc<Outgoing>, theirs: u64, request: u64) -> SessionId {
        let mut guests = self.guests.borrow_mut();
        let known = guests.by_theirs.get(&(link, theirs)).copied();
        let own = known.unwrap_or_else(|| self.next_session());
        guests.by_theirs.insert((link, theirs), own);
        let guest = Guest {
            outgoing: Rc::clone(outgoing),
            session: theirs,
            request,
        };
        guests.by_own.insert(own, guest);
        own
    }

    fn close_guest(self: &Rc<Self>, link: u64, theirs: u64) {
        let own = {
            let mut guests = self.guests.borrow_mut();
            let own = guests.by_theirs.remove(&(link, theirs));
            if let Some(own) = &own {
                guests.by_own.remove(own);
            }
            own
        };
        if let Some(session) = own {
            self.handle(Event::SessionClosed { session });
        }
    }

    fn close_guests_of(self: &Rc<Self>, link: u64) {
        let theirs: Vec<u64> = {
            let guests = self.guests.borrow();
            let of_link = guests.by_theirs.range((link, 0)..=(link, u64::MAX));
            of_link.map(|((_, theirs), _)| *theirs).collect()
        };
        for session in theirs {
            self.close_guest(link, session);
        }
    }

    /// Sends an answer to the node whose session it is for; gives it back when the session is this node's.
    pub(crate) fn answer_guest(&self, session: SessionId, response: Response) -> Option<Response> {
        let guests = self.guests.borrow();
        let Some(guest) = guests.by_own.get(&session) else {
            return Some(response);
        };
        let answer = answer_message(guest.session, guest.request, response);
        // A link that has failed ends in its reader.
        let _ = self.send_message(&guest.outgoing, &NodeMessage::Answer(answer));
        None
    }

    /// The engine has ended another node's session, which was at rest.
    pub(crate) fn forget_guest(&self, session: SessionId) {
        let mut guests = self.guests.borrow_mut();
        if guests.by_own.remove(&session).is_some() {
            guests.by_theirs.retain(|_, own| *own != session);
        }
    }

    /// Forwards a statement to a holder.
    pub(crate) fn forward(
        self: &Rc<Self>,
        holder: NodeId,
        session: SessionId,
        request: u64,
        forwarded: ForwardedRequest,
    ) {
        if let Some(message) = statement_message(session.0, request, forwarded) {
            self.tell_neighbour(holder, &NodeMessage::Forward(message));
        }
    }

    /// Tells a holder that a session has ended.
    pub(crate) fn close_forwarded(self: &Rc<Self>, holder: NodeId, session: SessionId) {
        if self.links.borrow().contains_key(&holder) {
            let message = NodeMessage::CloseSession { session: session.0 };
            self.tell_neighbour(holder, &message);
        }
    }

    pub(crate) fn tell_neighbour(self: &Rc<Self>, holder: NodeId, message: &NodeMessage) {
        let bytes = frame(message);
        self.traffic.sent(TrafficKind::of(message), bytes.len());
        let node = Rc::clone(self);
        let mut links = self.links.borrow_mut();
        match links.get_mut(&holder) {
            Some(Link::Opening(waiting)) => waiting.extend_from_slice(&bytes),
            Some(Link::Open(outgoing)) => {
                if outgoing.send(&bytes).is_err() {
                    tokio::task::spawn_local(async move { node.link_lost(holder) });
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
        self.traffic.opened(OpeningKind::LinkMade);
        let connected = match address {
            Some(address) => connect(address).await,
            None => None,
        };
        let Some((mut reader, outgoing)) = connected else {
            return self.link_lost(holder);
        };
        let opened = Link::Open(Rc::clone(&outgoing));
        let waiting = self.links.borrow_mut().insert(holder, opened);
        if let Some(Link::Opening(waiting)) = waiting
            && outgoing.send(&waiting).is_err()
        {
            return self.link_lost(holder);
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
                        response: response_of(answer),
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
                    self.take_position(&service, position.into(), asked_at, age);
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
                    let Some(grant) = grant_of(&message) else {
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
                    self.feeds.clock_told(holder, PeerClock::new(asked, told));
                }
                NodeMessage::FeedState(message) => self.source_answered(holder, message),
                _ => break,
            }
        }
        self.link_lost(holder);
    }

    /// Asks two peers, chosen anew each time, how far a leader's log had come.
    pub(crate) fn ask_peers_for_position(self: &Rc<Self>, service: &ServiceName) {
        let others: Vec<NodeId> = {
            let members = self.members.borrow();
            let nodes = members.iter().map(|member| member.node);
            nodes.filter(|node| *node != self.peer.node).collect()
        };
        let message = NodeMessage::QueryPosition {
            service: Text::new(service.as_str()),
            asked_at_microseconds: self.now().0,
        };
        for peer in others.sample(&mut rand::rng(), PEERS_ASKED) {
            self.tell_neighbour(*peer, &message);
        }
    }

    fn position_answer(&self, service: Text, asked_at_microseconds: u64) -> NodeMessage {
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

    /// Asks another node what it knows of a service's lead.
    pub(crate) fn ask_lead(self: &Rc<Self>, holder: NodeId, service: &ServiceName) {
        let message = NodeMessage::QueryLeader {
            service: Text::new(service.as_str()),
            asked_at_microseconds: self.now().0,
        };
        self.tell_neighbour(holder, &message);
    }

    /// Answers a question about tenants' limits, as coordinator; none when it is not understood.
    fn limit_answer(&self, message: &LimitRequest) -> Option<NodeMessage> {
        let (node, ask) = ask_of(message)?;
        let grant = self.grant_limit(node, &ask);
        Some(NodeMessage::GrantLimit(grant_message(grant)))
    }

    /// What is known of a lead; none where nothing is. It is kept known from now on.
    fn lead_answer(
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

    fn take_position(
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

    fn link_lost(self: &Rc<Self>, holder: NodeId) {
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
            self.source_lost(holder);
        }
    }
}
