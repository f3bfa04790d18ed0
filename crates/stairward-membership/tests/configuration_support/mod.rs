//! Test harness: a few nodes with settings dissemination, the messages between them, and a store.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use stairward_membership::configuration::{
    ConfigurationDisseminator, DisseminationParameters, Effect, Event, ExchangeAnswer, ExchangeId,
    ExchangeRequest, OutgoingUpdate, PeerLocation, Readiness, StoreAnswer, Update,
};
use stairward_types::{Duration, NodeId, RegionName, Revision, Time};

/// How long a node waits for the answer to an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A message in transit.
#[derive(Debug, Clone)]
pub enum Message {
    /// The request of an exchange.
    Request {
        from: usize,
        to: usize,
        exchange: ExchangeId,
        request: ExchangeRequest,
    },
    /// The answer, addressed to the incarnation that sent the request.
    Answer {
        from: usize,
        to: usize,
        incarnation: u32,
        exchange: ExchangeId,
        answer: ExchangeAnswer,
    },
}

impl Message {
    /// Whether sender and receiver are among these nodes.
    pub fn is_between(&self, nodes: &[usize]) -> bool {
        let (Self::Request { from, to, .. } | Self::Answer { from, to, .. }) = self;
        nodes.contains(from) && nodes.contains(to)
    }
}

/// One node of the fleet.
pub struct Node {
    pub disseminator: ConfigurationDisseminator,
    pub in_force: Revision,
    /// The highest revision in force while serving, over all incarnations of the node.
    pub highest_served: Revision,
    pub reads: VecDeque<()>,
    /// Unanswered exchanges and their deadlines.
    deadlines: BTreeMap<ExchangeId, Time>,
    incarnation: u32,
    open_calls: Vec<(u64, usize, u32, ExchangeId)>,
    next_call: u64,
    rng: StdRng,
}

/// All nodes, the messages in transit and the store.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub messages: VecDeque<Message>,
    pub newest: Revision,
    pub store_is_up: bool,
    parameters: DisseminationParameters,
}

impl Fleet {
    /// Nodes that have just started, with complete views; the store holds revision 1.
    pub fn new(nodes: usize, parameters: DisseminationParameters) -> Self {
        let now = Time::ZERO;
        let mut fleet = Self {
            now,
            nodes: (0..nodes)
                .map(|node| start_node(now, node, 0, &parameters))
                .collect(),
            messages: VecDeque::new(),
            newest: Revision(1),
            store_is_up: true,
            parameters,
        };
        fleet.set_full_views();
        fleet
    }

    pub fn set_full_views(&mut self) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        for node in 0..self.nodes.len() {
            self.set_view(node, &all);
        }
    }

    pub fn set_view(&mut self, node: usize, members: &[usize]) {
        let locations: Arc<[PeerLocation]> = members
            .iter()
            .map(|member| PeerLocation {
                node: id(*member),
                region: region(),
                leaving: false,
            })
            .collect();
        self.handle(node, Event::MembersChanged(locations));
    }

    /// Replaces a process by a new one without any state.
    pub fn restart(&mut self, node: usize) {
        let old = &self.nodes[node];
        let highest_served = old.highest_served;
        let mut fresh = start_node(self.now, node, old.incarnation + 1, &self.parameters);
        fresh.highest_served = highest_served;
        self.nodes[node] = fresh;
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.set_view(node, &all);
    }

    /// Commits an edit to the store through a node, which applies it at once.
    pub fn edit(&mut self, node: usize) {
        if !self.store_is_up {
            return;
        }
        self.newest = Revision(self.newest.0 + 1);
        let newest = self.newest;
        if let Some(applied) = self.apply_revision(node, newest) {
            self.handle(node, applied);
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for node in 0..self.nodes.len() {
            self.expire_exchanges(node);
            self.handle(node, Event::Tick);
        }
    }

    fn expire_exchanges(&mut self, node: usize) {
        let now = self.now;
        let deadlines = &mut self.nodes[node].deadlines;
        let expired: Vec<ExchangeId> = deadlines
            .iter()
            .filter(|(_, deadline)| now >= **deadline)
            .map(|(exchange, _)| *exchange)
            .collect();
        deadlines.retain(|_, deadline| now < *deadline);
        for exchange in expired {
            self.handle(node, Event::ExchangeFailed { exchange });
        }
    }

    /// Answers a pending read of a node, if any.
    pub fn answer_read(&mut self, node: usize) {
        if self.nodes[node].reads.pop_front().is_none() {
            return;
        }
        if !self.store_is_up {
            self.handle(node, Event::StoreAnswered(StoreAnswer::Failed));
            return;
        }
        let newest = self.newest;
        if let Some(applied) = self.apply_revision(node, newest) {
            self.handle(node, applied);
        }
        self.handle(node, Event::StoreAnswered(StoreAnswer::Read(newest)));
    }

    /// Delivers a message.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                from,
                to,
                exchange,
                request,
            } => {
                let incarnation = self.nodes[from].incarnation;
                let receiver = &mut self.nodes[to];
                let call = receiver.next_call;
                receiver.next_call += 1;
                receiver
                    .open_calls
                    .push((call, from, incarnation, exchange));
                let from = id(from);
                let event = Event::ExchangeRequested {
                    from,
                    call,
                    request,
                };
                self.handle(to, event);
            }
            Message::Answer {
                to,
                incarnation,
                exchange,
                answer,
                ..
            } => {
                let receiver = &mut self.nodes[to];
                if receiver.incarnation == incarnation
                    && receiver.deadlines.remove(&exchange).is_some()
                {
                    self.handle(to, Event::ExchangeAnswered { exchange, answer });
                }
            }
        }
    }

    /// Advances time with a fast network and store.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance(Duration::from_millis(100));
            for node in 0..self.nodes.len() {
                self.answer_read(node);
            }
            let mut rounds = 0;
            while let Some(message) = self.messages.pop_front() {
                self.deliver(message);
                rounds += 1;
                assert!(rounds < 10_000, "the nodes do not become idle");
            }
        }
    }

    pub fn is_ready(&self, node: usize) -> bool {
        self.nodes[node].disseminator.readiness() == Readiness::Ready
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now;
            let state = &mut self.nodes[node];
            let effects = state.disseminator.handle(now, event, &mut state.rng);
            for effect in effects {
                events.extend(self.apply_effect(node, effect));
            }
        }
        if self.is_ready(node) {
            let state = &mut self.nodes[node];
            assert!(
                state.in_force >= state.highest_served,
                "node {node} serves {} after {}",
                state.in_force,
                state.highest_served
            );
            state.highest_served = state.in_force;
        }
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) -> Option<Event> {
        let held = self.nodes[node].in_force;
        match effect {
            Effect::StartExchange {
                exchange,
                to,
                digest,
                update,
            } => {
                let deadline = self.now + EXCHANGE_TIMEOUT;
                self.nodes[node].deadlines.insert(exchange, deadline);
                let update = encode(held, update);
                let request = ExchangeRequest { digest, update };
                self.messages.push_back(Message::Request {
                    from: node,
                    to: index(to),
                    exchange,
                    request,
                });
            }
            Effect::AnswerExchange {
                call,
                digest,
                update,
            } => self.answer(
                node,
                call,
                ExchangeAnswer {
                    digest,
                    update: encode(held, update),
                },
            ),
            Effect::Apply(update) => return self.apply_revision(node, update.revision),
            Effect::ReadStore { .. } => self.nodes[node].reads.push_back(()),
            Effect::WatcherStarted | Effect::WatcherStopped | Effect::ReadinessChanged(_) => {}
        }
        None
    }

    fn answer(&mut self, node: usize, call: u64, answer: ExchangeAnswer) {
        let open_calls = &mut self.nodes[node].open_calls;
        let position = open_calls.iter().position(|(known, ..)| *known == call);
        let (_, to, incarnation, exchange) =
            open_calls.swap_remove(position.expect("the call is open"));
        self.messages.push_back(Message::Answer {
            from: node,
            to,
            incarnation,
            exchange,
            answer,
        });
    }

    /// Like the proxy's cluster, never replaces a revision by an older one.
    fn apply_revision(&mut self, node: usize, revision: Revision) -> Option<Event> {
        if revision <= self.nodes[node].in_force {
            return None;
        }
        self.nodes[node].in_force = revision;
        Some(Event::Applied {
            revision,
            history_from: Revision(1),
        })
    }
}

fn start_node(
    now: Time,
    node: usize,
    incarnation: u32,
    parameters: &DisseminationParameters,
) -> Node {
    Node {
        disseminator: ConfigurationDisseminator::new(now, id(node), region(), parameters.clone()),
        in_force: Revision(0),
        highest_served: Revision(0),
        reads: VecDeque::new(),
        deadlines: BTreeMap::new(),
        incarnation,
        open_calls: Vec::new(),
        next_call: 0,
        rng: StdRng::seed_from_u64(node as u64),
    }
}

fn encode(held: Revision, outgoing: OutgoingUpdate) -> Option<Update> {
    let (after, whole) = match outgoing {
        OutgoingUpdate::Nothing => return None,
        OutgoingUpdate::EditsAfter(after) => (after, false),
        OutgoingUpdate::WholeTree => (Revision(0), true),
    };
    Some(Update {
        after,
        revision: held,
        whole,
        document: Arc::new([]),
    })
}

/// The node number of an index.
pub fn id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

fn index(node: NodeId) -> usize {
    usize::try_from(node.0).expect("a small number") - 1
}

fn region() -> RegionName {
    RegionName::new("south").expect("a valid name")
}
