//! What a holder of the failover duty needs other nodes for: questions to members that they pass on, and their
//! word that they believe an old leader no more.

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
use crate::neighbour_link::{connect, frame};
use crate::node::Node;
use crate::traffic::OpeningKind;
use crate::wire::{MemberRequest, Wire};

/// How long a peer may take to pass a question on and to answer.
const RELAY_PATIENCE: Duration = Duration::from_millis(1_000);
/// Peers that are asked to pass a question on: enough that a cut of some of the nodes leaves one that reaches
/// the member.
const PEERS_ASKED: usize = 8;

/// How long a node that is no longer seen counts as one that may use a leader.
const USERS_REMEMBERED_FOR: Duration = Duration::from_secs(30);

/// Another node that may use a leader.
#[derive(Debug)]
pub(crate) struct User {
    address: SocketAddr,
    seen_at: Time,
}

impl<W: Wire> Node<W> {
    /// Chooses anew the peers that may pass questions on, and tells the duty.
    pub(crate) fn choose_question_peers(self: &Rc<Self>) {
        let peers: Vec<NodeId> = {
            let members = self.members.borrow();
            let others = members
                .iter()
                .map(|member| member.node)
                .filter(|node| *node != self.peer.node);
            others.sample(&mut rand::rng(), PEERS_ASKED)
        };
        self.question_peers.borrow_mut().clone_from(&peers);
        self.tell_duty(stairward_failover::Event::RelayPeers(peers));
    }

    /// Notes which nodes live: whoever lived a while ago may still use a leader.
    pub(crate) fn note_users(self: &Rc<Self>) {
        let now = self.now();
        let users: BTreeSet<NodeId> = {
            let mut users = self.users.borrow_mut();
            let members = self.members.borrow();
            for member in members
                .iter()
                .filter(|member| member.node != self.peer.node)
            {
                let user = User {
                    address: member.address,
                    seen_at: now,
                };
                users.insert(member.node, user);
            }
            users.retain(|_, user| now.since(user.seen_at) < USERS_REMEMBERED_FOR);
            users.keys().copied().collect()
        };
        self.tell_duty(stairward_failover::Event::LeaderUsers(users));
    }

    /// Has these nodes, and this one, believe no leader of a lower term any more.
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
                    Some(node.believe_from(&service, term))
                } else {
                    node.tell_revoked(user, &service, term).await
                };
                if let Some(newest) = newest {
                    node.tell_duty(stairward_failover::Event::Revoked {
                        service,
                        term,
                        user,
                        newest,
                    });
                }
            });
        }
    }

    /// Tells these nodes, and this one, that no promotion that they were told of is under way any more.
    pub(crate) fn settle(self: &Rc<Self>, service: &ServiceName, users: BTreeSet<NodeId>) {
        self.handle(Event::PromotionEnded(service.clone()));
        // A node that misses it believes the new leader a little later.
        self.tell_once(
            users,
            &NodeMessage::PromotionEnded {
                service: Text::new(service.as_str()),
            },
        );
    }

    /// Tells some other nodes which back ends this one finds silent.
    pub(crate) fn report_silent(self: &Rc<Self>, silent: &BTreeSet<BackendId>) {
        let backends: Vec<_> = silent.iter().map(|id| Text::new(id.as_str())).collect();
        let message = NodeMessage::SilentBackends {
            node: self.peer.node.0,
            count: u16::try_from(backends.len()).unwrap_or(u16::MAX),
            backends,
        };
        // One that misses it hears of it again while it holds.
        self.tell_once(self.question_peers.borrow().iter().copied(), &message);
    }

    /// Looks whether a back end that another node finds silent accepts connections, and tells that node if it does
    /// not. One that is full or busy gives a sign of life.
    pub(crate) fn verify(self: &Rc<Self>, backend: BackendId, asker: NodeId) {
        let Some(target) = self.target(&backend) else {
            return;
        };
        self.traffic.opened(OpeningKind::Backend);
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let opened = open_connection::<W>(&target).await;
            let is_silent = matches!(opened, Err(OpenFailure::TimedOut));
            node.log.verified(node.now(), &backend, asker, is_silent);
            if let Ok(opened) = opened {
                opened.outgoing.close();
            }
            if is_silent {
                let found = stairward_failover::Event::FoundSilent(backend.clone());
                node.tell_duty(found);
                let message = NodeMessage::ConfirmSilentBackend {
                    node: node.peer.node.0,
                    backend: Text::new(backend.as_str()),
                };
                node.tell_once([asker], &message);
            }
        });
    }

    /// Tells nodes something that needs no answer, each on a connection of its own.
    fn tell_once(&self, nodes: impl IntoIterator<Item = NodeId>, message: &NodeMessage) {
        let message = frame(message);
        for node in nodes {
            let address = self.users.borrow().get(&node).map(|user| user.address);
            let Some(address) = address else {
                continue;
            };
            let message = message.clone();
            self.traffic.opened(OpeningKind::OneShotMade);
            tokio::task::spawn_local(async move {
                if let Some((_, outgoing)) = connect(address).await {
                    let _ = outgoing.send(&message);
                    Self::pause(RELAY_PATIENCE).await;
                }
            });
        }
    }

    /// Believes no leader of a lower term any more; returns the newest term known to have begun.
    pub(crate) fn believe_from(self: &Rc<Self>, service: &ServiceName, term: Term) -> Term {
        self.handle(Event::LeadershipRevoked(service.clone(), term));
        self.newest_term(service)
    }

    /// Tells a node that a term may begin; returns the newest term that it knows to have begun, if it answers.
    async fn tell_revoked(&self, user: NodeId, service: &ServiceName, term: Term) -> Option<Term> {
        let address = self.users.borrow().get(&user).map(|user| user.address)?;
        self.traffic.opened(OpeningKind::OneShotMade);
        let telling = async {
            let (mut reader, outgoing) = connect(address).await?;
            let message = NodeMessage::RevokeLeader {
                service: Text::new(service.as_str()),
                term: term.0,
            };
            outgoing.send(&frame(&message)).ok()?;
            reader.next().await
        };
        match tokio::time::timeout(RELAY_PATIENCE, telling).await {
            Ok(Some(NodeMessage::LeaderRevoked { newest })) => Some(Term(newest)),
            _ => None,
        }
    }

    /// Has a peer ask a member.
    pub(crate) async fn ask_through_peer(
        self: &Rc<Self>,
        peer: NodeId,
        target: &OpenTarget,
        question: MemberRequest,
    ) -> MemberCallResult {
        let address = {
            let members = self.members.borrow();
            let member = members.iter().find(|member| member.node == peer);
            member.map(|member| member.address)
        };
        let (Some(address), Some(message)) = (address, question_message(target, question)) else {
            return MemberCallResult::Silent;
        };
        self.traffic.opened(OpeningKind::OneShotMade);
        let asking = async {
            let (mut reader, outgoing) = connect(address).await?;
            let question = NodeMessage::ForwardMemberRequest(message);
            outgoing.send(&frame(&question)).ok()?;
            match reader.next().await? {
                NodeMessage::MemberReply(reach) => Some(reach_of(&reach)),
                _ => None,
            }
        };
        tokio::time::timeout(RELAY_PATIENCE, asking)
            .await
            .ok()
            .flatten()
            .unwrap_or(MemberCallResult::Silent)
    }

    /// Asks a member for a peer; none when the question is not understood.
    pub(crate) async fn ask_for_peer(
        self: &Rc<Self>,
        message: &MemberRequestMessage,
    ) -> Option<NodeMessage> {
        let (target, question) = question_of(message)?;
        let reach = self.ask_member(target, question).await;
        Some(NodeMessage::MemberReply(reach_message(reach)))
    }
}

/// A question as a message; none for one that is not passed on.
fn question_message(target: &OpenTarget, question: MemberRequest) -> Option<MemberRequestMessage> {
    let (request, term) = match question {
        MemberRequest::StepDown(term) => (MemberRequestMessage::STEP_DOWN, term),
        MemberRequest::Hold(term) => (MemberRequestMessage::HOLD, term),
        MemberRequest::Status | MemberRequest::Received(_) | MemberRequest::Resume => {
            return None;
        }
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

fn question_of(message: &MemberRequestMessage) -> Option<(OpenTarget, MemberRequest)> {
    let term = Term(message.term);
    let question = match message.request {
        MemberRequestMessage::STEP_DOWN => MemberRequest::StepDown(term),
        MemberRequestMessage::HOLD => MemberRequest::Hold(term),
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

fn reach_message(reach: MemberCallResult) -> MemberReplyMessage {
    let (kind, status) = match reach {
        MemberCallResult::Silent => (MemberReplyMessage::SILENT, None),
        MemberCallResult::Refused => (MemberReplyMessage::REFUSED, None),
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

/// A message as what came of a question. What is not understood counts as no answer.
fn reach_of(message: &MemberReplyMessage) -> MemberCallResult {
    let role = match message.kind {
        MemberReplyMessage::REFUSED => return MemberCallResult::Refused,
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
