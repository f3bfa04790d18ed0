//! One simulated proxy: a process that dies, pauses and comes back, and what it does with each input.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use stairward_membership::Event as MembershipEvent;
use stairward_membership::configuration::Event as SpreadEvent;
use stairward_routing::Event as RequestEvent;
use stairward_standins::ConnectionNumber;
use stairward_types::{GroupId, NodeId, Time};

use super::calls::{Asker, BackendQuestion, CallPurpose, Calls};
use super::control::{Control, ProxyIdentity};
use super::database::DatabaseReply;
use super::edge::Edge;
use super::message::{
    CallReply, CallRequest, CallerConnection, CallerMessage, PeerMessage, ProxyMessage,
    StoreAnswered, StreamKey,
};
use super::outbox::{Action, Outbox, ProxyTimer};
use super::owner::Owner;
use super::policy::Policy;
use super::random::Random;
use super::variant::BrokenVariant;

/// How long a planned stop may take.
const STOP_TIME: Duration = Duration::from_secs(15);
/// How often a planned stop looks whether it is over.
const STOP_CHECK: Duration = Duration::from_millis(20);
/// How long the news of the departure is still passed on.
const FAREWELL: Duration = Duration::from_millis(200);

/// What a proxy hears.
#[derive(Debug)]
pub(super) enum ProxyInput {
    /// The process starts.
    Start,
    /// From another proxy, or itself.
    Peer(NodeId, PeerMessage),
    /// From a database.
    Database(ConnectionNumber, DatabaseReply),
    /// From a caller; its session belongs to the group.
    Caller(CallerConnection, GroupId, CallerMessage),
    /// From the platform's store.
    Store(u64, StoreAnswered),
    /// A timer.
    Timer(ProxyTimer),
    /// An operator begins a planned stop.
    Stop,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stopping {
    /// What is in flight is finished.
    Draining { until: Time },
    /// Only the departure is still passed on.
    Departed { until: Time },
}

/// The state of a proxy's process.
#[derive(Debug)]
pub(super) struct ProxyState {
    pub(super) identity: ProxyIdentity,
    pub(super) life: u64,
    pub(super) policy: Policy,
    pub(super) broken: Option<BrokenVariant>,
    pub(super) control: Control,
    pub(super) calls: Calls,
    pub(super) edge: Edge,
    pub(super) owner: Owner,
    pub(super) asked_exchanges: BTreeMap<u64, (NodeId, u64)>,
    pub(super) next_exchange: u64,
    pub(super) seen_streams: BTreeSet<StreamKey>,
    stopping: Option<Stopping>,
}

impl ProxyState {
    /// A process that is about to start.
    pub(super) fn new(
        identity: ProxyIdentity,
        life: u64,
        seeds: &[SocketAddr],
        policy: Policy,
        broken: Option<BrokenVariant>,
        now: Time,
        random: &mut Random,
    ) -> Self {
        Self {
            control: Control::new(&identity, life, seeds, now, random),
            identity,
            life,
            policy,
            broken,
            calls: Calls::default(),
            edge: Edge::default(),
            owner: Owner::default(),
            asked_exchanges: BTreeMap::new(),
            next_exchange: 0,
            seen_streams: BTreeSet::new(),
            stopping: None,
        }
    }

    /// A session's floor here: none while it is not known, and none within when there is none.
    pub(super) fn session_floor(
        &self,
        connection: CallerConnection,
    ) -> Option<Option<stairward_types::Freshness>> {
        self.edge.known_floor(connection)
    }

    /// Handles one input.
    pub(super) fn handle(&mut self, input: ProxyInput, out: &mut Outbox<'_>) {
        match input {
            ProxyInput::Start => self.start_control(out),
            ProxyInput::Peer(from, message) => self.peer_message(from, message, out),
            ProxyInput::Database(connection, reply) => {
                self.database_reply(connection, reply, out);
            }
            ProxyInput::Caller(connection, group, message) => {
                self.caller_message(connection, &group, message, out);
            }
            ProxyInput::Store(read, answered) => {
                self.store_read_ended(read, Some(answered), out);
            }
            ProxyInput::Timer(timer) => self.timer(timer, out),
            ProxyInput::Stop => self.begin_stop(out),
        }
    }

    fn peer_message(&mut self, from: NodeId, message: PeerMessage, out: &mut Outbox<'_>) {
        match message {
            PeerMessage::ToOwner(stream, message) => self.stream_message(stream, message, out),
            PeerMessage::ToEdge(stream, message) => {
                self.owner_message(from, stream, message, out);
            }
            PeerMessage::Call(call, request) => self.call(from, call, request, out),
            PeerMessage::Reply(call, reply) => self.reply(call, reply, out),
            PeerMessage::Membership(packet) => self.membership_packet(from, *packet, out),
            PeerMessage::Closed => {
                self.peer_lost(from, out);
                self.feed_membership(MembershipEvent::PeerLost(from), out);
            }
        }
    }

    fn call(&mut self, from: NodeId, call: u64, request: CallRequest, out: &mut Outbox<'_>) {
        match request {
            CallRequest::AskBackend(backend) => self.backend_asked(from, call, &backend, out),
            CallRequest::ExchangeSettings(request) => {
                self.exchange_asked(from, call, request, out);
            }
            CallRequest::HandOver(backend, role) => {
                self.role_handed_over(&(backend, role), out);
                out.peer(from, PeerMessage::Reply(call, CallReply::Done));
            }
        }
    }

    fn reply(&mut self, call: u64, reply: CallReply, out: &mut Outbox<'_>) {
        let Some(open) = self.calls.end(call) else {
            return;
        };
        match (open.purpose, reply) {
            (CallPurpose::Exchange(exchange), CallReply::Settings(answer)) => {
                self.feed_settings(SpreadEvent::ExchangeAnswered { exchange, answer }, out);
            }
            (
                CallPurpose::Backend(question),
                CallReply::Backend {
                    freshness,
                    is_primary,
                },
            ) => self.backend_answered(question, freshness, is_primary, out),
            (CallPurpose::HandOver, _) => {}
            (purpose, _) => self.call_failed(purpose, out),
        }
    }

    fn backend_answered(
        &mut self,
        question: BackendQuestion,
        freshness: stairward_types::Freshness,
        is_primary: bool,
        out: &mut Outbox<'_>,
    ) {
        match question.asker {
            Asker::Fence(claim, number) => {
                self.fence_answered(&claim, number, Some((freshness, is_primary)), out);
            }
            Asker::Search(group) => {
                self.search_answered(&group, &question.backend, freshness, is_primary, out);
            }
            Asker::Floor(connection) => {
                self.floor_answered(connection, &question.backend, Some(freshness), out);
            }
        }
    }

    /// A question will not be answered.
    fn call_failed(&mut self, purpose: CallPurpose, out: &mut Outbox<'_>) {
        match purpose {
            CallPurpose::Exchange(exchange) => {
                self.feed_settings(SpreadEvent::ExchangeFailed { exchange }, out);
            }
            CallPurpose::Backend(question) => self.backend_unanswered(question, out),
            CallPurpose::HandOver => {}
        }
    }

    /// The node asked about a back end cannot answer: its standby may.
    pub(super) fn backend_unanswered(&mut self, question: BackendQuestion, out: &mut Outbox<'_>) {
        if !question.by_standby {
            let again = BackendQuestion {
                by_standby: true,
                ..question
            };
            return self.ask_holder(again, out);
        }
        match question.asker {
            Asker::Fence(claim, number) => self.fence_answered(&claim, number, None, out),
            Asker::Floor(connection) => {
                self.floor_answered(connection, &question.backend, None, out);
            }
            Asker::Search(_) => {}
        }
    }

    /// The connection to another node is lost.
    pub(super) fn peer_lost(&mut self, node: NodeId, out: &mut Outbox<'_>) {
        for call in self.calls.to_node(node) {
            if let Some(open) = self.calls.end(call) {
                self.call_failed(open.purpose, out);
            }
        }
        self.edge_lost(node, out);
        self.owner_lost(node, out);
    }

    fn timer(&mut self, timer: ProxyTimer, out: &mut Outbox<'_>) {
        match timer {
            ProxyTimer::Membership => {
                if self.control.swim.next_deadline() <= out.now {
                    self.feed_membership(MembershipEvent::Tick, out);
                }
            }
            ProxyTimer::Settings => self.tick_settings(out),
            ProxyTimer::Claim(backend, role) => self.wake_claim(&(backend, role), out),
            ProxyTimer::Request(number) => self.feed_request(number, RequestEvent::Tick, out),
            ProxyTimer::Search(group) => self.search_round(&group, out),
            ProxyTimer::Call(call) => {
                if let Some(open) = self.calls.end(call) {
                    self.call_failed(open.purpose, out);
                }
            }
            ProxyTimer::StoreRead(read) => self.store_read_ended(read, None, out),
            ProxyTimer::Stop => self.check_stop(out),
        }
    }

    /// Whether a planned stop is under way.
    pub(super) const fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    fn begin_stop(&mut self, out: &mut Outbox<'_>) {
        if self.broken == Some(BrokenVariant::Drain) {
            out.actions.push(Action::Exit);
            return;
        }
        if self.stopping.is_some() {
            return;
        }
        let until = out.now + STOP_TIME;
        self.stopping = Some(Stopping::Draining { until });
        self.feed_membership(MembershipEvent::LeaveAnnounced, out);
        self.review_claims(out);
        for connection in self.edge.idle_sessions() {
            self.close_if_stopping(connection, out);
        }
        out.wake(out.now + STOP_CHECK, ProxyTimer::Stop);
    }

    /// Tells a session at a statement boundary to connect elsewhere, if this proxy stops.
    pub(super) fn close_if_stopping(&mut self, connection: CallerConnection, out: &mut Outbox<'_>) {
        if self.is_stopping() && self.edge.end_idle_session(connection) {
            out.caller(connection, None, ProxyMessage::Stopping);
        }
    }

    fn check_stop(&mut self, out: &mut Outbox<'_>) {
        match self.stopping {
            None => return,
            Some(Stopping::Draining { until }) => {
                let is_done = self.edge.is_empty() && self.owner.is_released();
                if is_done || out.now >= until {
                    self.feed_membership(MembershipEvent::Departed, out);
                    self.stopping = Some(Stopping::Departed {
                        until: out.now + FAREWELL,
                    });
                }
            }
            Some(Stopping::Departed { until }) if out.now >= until => {
                out.actions.push(Action::Exit);
                return;
            }
            Some(Stopping::Departed { .. }) => {}
        }
        out.wake(out.now + STOP_CHECK, ProxyTimer::Stop);
    }
}
