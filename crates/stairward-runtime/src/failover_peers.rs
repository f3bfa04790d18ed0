//! Cooperation of nodes during a failover: relaying member requests, confirming that a back end is silent, and
//! revoking an old leader on every node that may still use it.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use stairward_engine::{Event, OpenFailure, OpenTarget};
use stairward_failover::{MemberCallResult, MemberStatus};
use stairward_protocol::node_message::{MemberReplyMessage, MemberRequestMessage, NodeMessage};
use stairward_protocol::{OptionalFreshness, Text};
use stairward_types::{BackendId, BackendRole, Freshness, NodeId, ServiceName, Term, Time};

use crate::backends::open_connection;
use crate::node::Node;
use crate::peer_link::{connect, frame};
use crate::traffic::OpeningKind;
use crate::wire::{MemberRequest, Wire};

/// Timeout for a request to a peer, including one that it relays to a member.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of peers chosen to relay requests: enough that a partition of some of the nodes leaves one that can reach
/// the member.
const RELAY_PEERS: usize = 8;

/// How long a node counts as a possible user of a leader after it was last seen.
const LEADER_USER_RETENTION: Duration = Duration::from_secs(30);

/// Another node that may send statements to a leader.
#[derive(Debug)]
pub(crate) struct LeaderUser {
    address: SocketAddr,
    seen_at: Time,
}

impl<W: Wire> Node<W> {
    /// Chooses random peers as relays and passes them to the failover state machine.
    pub(crate) fn choose_relay_peers(self: &Rc<Self>) {
        let peers: Vec<NodeId> = {
            let members = self.members.borrow();
            let others = members
                .iter()
                .map(|member| member.node)
                .filter(|node| *node != self.peer.node);
            others.sample(&mut rand::rng(), RELAY_PEERS)
        };
        self.relay_peers.borrow_mut().clone_from(&peers);
        self.handle_failover_event(stairward_failover::Event::RelayPeers(peers));
    }

    /// Updates the nodes that may use a leader: current members and those seen recently.
    pub(crate) fn update_leader_users(self: &Rc<Self>) {
        let now = self.now();
        let users: BTreeSet<NodeId> = {
            let mut users = self.leader_users.borrow_mut();
            let members = self.members.borrow();
            for member in members
                .iter()
                .filter(|member| member.node != self.peer.node)
            {
                let user = LeaderUser {
                    address: member.address,
                    seen_at: now,
                };
                users.insert(member.node, user);
            }
            users.retain(|_, user| now.since(user.seen_at) < LEADER_USER_RETENTION);
            users.keys().copied().collect()
        };
        self.handle_failover_event(stairward_failover::Event::LeaderUsers(users));
    }

    /// Makes the given nodes, and this one, reject leaders of lower terms.
    pub(crate) fn revoke(
        self: &Rc<Self>,
        service: &ServiceName,
        term: Term,
        users: BTreeSet<NodeId>,
    ) {
        let own = self.peer.node;
        for user in users.into_iter().chain([own]) {
            let (node, service) = (Rc::clone(self), service.clone());
            tokio::task::spawn_local(async move {
                let newest = if user == own {
                    Some(node.revoke_older_terms(&service, term))
                } else {
                    node.send_revocation(user, &service, term).await
                };
                if let Some(newest) = newest {
                    node.handle_failover_event(stairward_failover::Event::Revoked {
                        service,
                        term,
                        user,
                        newest,
                    });
                }
            });
        }
    }

    /// Tells the given nodes, and this one, that the promotion announced to them is no longer in progress.
    pub(crate) fn send_lead_settled(
        self: &Rc<Self>,
        service: &ServiceName,
        users: BTreeSet<NodeId>,
    ) {
        self.handle(Event::PromotionEnded(service.clone()));
        // A node that misses the message accepts the new leader a little later.
        self.send_once(
            users,
            &NodeMessage::PromotionEnded {
                service: Text::new(service.as_str()),
            },
        );
    }

    /// Reports the back ends that are silent to this node to the relay peers.
    pub(crate) fn report_silent_backends(self: &Rc<Self>, silent: &BTreeSet<BackendId>) {
        let backends: Vec<_> = silent.iter().map(|id| Text::new(id.as_str())).collect();
        let message = NodeMessage::SilentBackends {
            node: self.peer.node.0,
            count: u16::try_from(backends.len()).unwrap_or(u16::MAX),
            backends,
        };
        // A lost report is repeated while the back ends stay silent.
        self.send_once(self.relay_peers.borrow().iter().copied(), &message);
    }

    /// Tries to connect to a back end that another node reports as silent, and confirms the silence to that node. A
    /// back end that refuses because it is full or busy is alive.
    pub(crate) fn verify_silence(self: &Rc<Self>, backend: BackendId, asker: NodeId) {
        let Some(target) = self.open_target(&backend) else {
            return;
        };
        self.traffic.opened(OpeningKind::Backend);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let opened = open_connection::<W>(&target).await;
            let is_silent = matches!(opened, Err(OpenFailure::TimedOut));
            node.log
                .silence_check(node.now(), &backend, asker, is_silent);
            if let Ok(opened) = opened {
                opened.outgoing.close();
            }
            if is_silent {
                let found = stairward_failover::Event::FoundSilent(backend.clone());
                node.handle_failover_event(found);
                let message = NodeMessage::ConfirmSilentBackend {
                    node: node.peer.node.0,
                    backend: Text::new(backend.as_str()),
                };
                node.send_once([asker], &message);
            }
        });
    }

    /// Sends nodes a message that needs no reply, each over a new connection.
    pub(crate) fn send_once(&self, nodes: impl IntoIterator<Item = NodeId>, message: &NodeMessage) {
        let message = frame(message);
        for node in nodes {
            let address = self
                .leader_users
                .borrow()
                .get(&node)
                .map(|user| user.address);
            let Some(address) = address else {
                continue;
            };
            let message = message.clone();
            self.traffic.opened(OpeningKind::OneShot);
            tokio::task::spawn_local(async move {
                if let Some((_, outgoing)) = connect(address).await {
                    let _ = outgoing.send(&message);
                    Self::pause(RELAY_TIMEOUT).await;
                }
            });
        }
    }

    /// Rejects leaders of lower terms from now on. Returns the newest term known to have begun or to have been used.
    pub(crate) fn revoke_older_terms(self: &Rc<Self>, service: &ServiceName, term: Term) -> Term {
        self.handle(Event::LeadershipRevoked(service.clone(), term));
        self.engine.borrow().newest_used_term(service)
    }

    /// Tells a node to reject leaders of lower terms. Returns the newest term that it knows to have begun, if it replies.
    async fn send_revocation(
        &self,
        user: NodeId,
        service: &ServiceName,
        term: Term,
    ) -> Option<Term> {
        let address = self
            .leader_users
            .borrow()
            .get(&user)
            .map(|user| user.address)?;
        self.traffic.opened(OpeningKind::OneShot);
        let sending = async {
            let (mut reader, outgoing) = connect(address).await?;
            let message = NodeMessage::RevokeLeader {
                service: Text::new(service.as_str()),
                term: term.0,
            };
            outgoing.send(&frame(&message)).ok()?;
            reader.next().await
        };
        match tokio::time::timeout(RELAY_TIMEOUT, sending).await {
            Ok(Some(NodeMessage::LeaderRevoked { newest })) => Some(Term(newest)),
            _ => None,
        }
    }

    /// Sends a member request through a peer.
    pub(crate) async fn request_through_peer(
        self: &Rc<Self>,
        peer: NodeId,
        target: &OpenTarget,
        request: MemberRequest,
    ) -> MemberCallResult {
        let address = {
            let members = self.members.borrow();
            let member = members.iter().find(|member| member.node == peer);
            member.map(|member| member.address)
        };
        let (Some(address), Some(message)) = (address, encode_request(target, request)) else {
            return MemberCallResult::Silent;
        };
        self.traffic.opened(OpeningKind::OneShot);
        let requesting = async {
            let (mut reader, outgoing) = connect(address).await?;
            let question = NodeMessage::ForwardMemberRequest(message);
            outgoing.send(&frame(&question)).ok()?;
            match reader.next().await? {
                NodeMessage::MemberReply(reach) => Some(decode_reach(&reach)),
                _ => None,
            }
        };
        tokio::time::timeout(RELAY_TIMEOUT, requesting)
            .await
            .ok()
            .flatten()
            .unwrap_or(MemberCallResult::Silent)
    }

    /// Sends a member request on behalf of a peer; none if the message is malformed.
    pub(crate) async fn answer_relayed_request(
        self: &Rc<Self>,
        message: &MemberRequestMessage,
    ) -> Option<NodeMessage> {
        let (target, question) = decode_request(message)?;
        let reach = self.query_member(target, question).await;
        Some(NodeMessage::MemberReply(encode_reach(reach)))
    }
}

/// Converts a member request to a message; none for a kind that is not relayed.
fn encode_request(target: &OpenTarget, request: MemberRequest) -> Option<MemberRequestMessage> {
    let (request, term) = match request {
        MemberRequest::StepDown(term) => (MemberRequestMessage::STEP_DOWN, term),
        MemberRequest::Hold(term) => (MemberRequestMessage::HOLD, term),
        MemberRequest::Status => (MemberRequestMessage::STATUS, Term::default()),
        MemberRequest::Received(_) | MemberRequest::Resume => return None,
    };
    let IpAddr::V4(ip) = target.address.ip() else {
        return None;
    };
    Some(MemberRequestMessage {
        service: Text::new(target.service.as_str()),
        backend: Text::new(target.backend.as_str()),
        address: ip.octets(),
        port: target.address.port(),
        request,
        term: term.0,
    })
}

fn decode_request(message: &MemberRequestMessage) -> Option<(OpenTarget, MemberRequest)> {
    let term = Term(message.term);
    let question = match message.request {
        MemberRequestMessage::STEP_DOWN => MemberRequest::StepDown(term),
        MemberRequestMessage::HOLD => MemberRequest::Hold(term),
        MemberRequestMessage::STATUS => MemberRequest::Status,
        _ => return None,
    };
    let target = OpenTarget {
        backend: BackendId::new(message.backend.as_str()).ok()?,
        service: ServiceName::new(message.service.as_str()).ok()?,
        address: SocketAddr::from((message.address, message.port)),
        tenant: None,
    };
    Some((target, question))
}

fn encode_reach(reach: MemberCallResult) -> MemberReplyMessage {
    let (kind, status) = match reach {
        MemberCallResult::Silent => (MemberReplyMessage::SILENT, None),
        MemberCallResult::Refused => (MemberReplyMessage::REFUSED, None),
        MemberCallResult::Busy => (MemberReplyMessage::BUSY, None),
        MemberCallResult::GaveWay(status) => (MemberReplyMessage::STEPPED_DOWN, Some(status)),
        MemberCallResult::Answered(status) => match status.role {
            BackendRole::Primary => (MemberReplyMessage::PRIMARY, Some(status)),
            BackendRole::Replica => (MemberReplyMessage::REPLICA, Some(status)),
        },
    };
    MemberReplyMessage {
        kind,
        term: status.map_or(0, |status| status.term.0),
        received: OptionalFreshness::from(status.map(|status| status.received)),
        held: status.map_or(0, |status| status.held.0),
    }
}

/// Converts a message to the result of a member request. A malformed message counts as no reply.
fn decode_reach(message: &MemberReplyMessage) -> MemberCallResult {
    let role = match message.kind {
        MemberReplyMessage::REFUSED => return MemberCallResult::Refused,
        MemberReplyMessage::BUSY => return MemberCallResult::Busy,
        MemberReplyMessage::PRIMARY => BackendRole::Primary,
        MemberReplyMessage::REPLICA | MemberReplyMessage::STEPPED_DOWN => BackendRole::Replica,
        _ => return MemberCallResult::Silent,
    };
    let Some(received) = Option::<Freshness>::from(message.received) else {
        return MemberCallResult::Silent;
    };
    let status = MemberStatus {
        role,
        term: Term(message.term),
        received,
        held: Term(message.held),
    };
    if message.kind == MemberReplyMessage::STEPPED_DOWN {
        MemberCallResult::GaveWay(status)
    } else {
        MemberCallResult::Answered(status)
    }
}
