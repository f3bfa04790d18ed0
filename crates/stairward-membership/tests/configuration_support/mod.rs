//! A few spreaders, the mail between them and a store, all under the test's control.

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

/// A message on its way.
#[derive(Debug, Clone)]
pub enum Mail {
    /// Starts an exchange.
    Ask {
        from: usize,
        to: usize,
        exchange: ExchangeId,
        request: ExchangeRequest,
    },
    /// Answers it, to the life of the process that had asked.
    Answer {
        from: usize,
        to: usize,
        life: u32,
        exchange: ExchangeId,
        answer: ExchangeAnswer,
    },
}

impl Mail {
    /// Whether both ends are among these nodes.
    pub fn is_between(&self, nodes: &[usize]) -> bool {
        let (Self::Ask { from, to, .. } | Self::Answer { from, to, .. }) = self;
        nodes.contains(from) && nodes.contains(to)
    }
}

/// One place of the fleet.
pub struct Node {
    pub spreader: ConfigurationDisseminator,
    pub in_force: Revision,
    /// The highest revision in force while serving, over all lives of the place.
    pub highest_served: Revision,
    pub reads: VecDeque<()>,
    /// Exchanges without an answer, and when each is given up.
    open: BTreeMap<ExchangeId, Time>,
    life: u32,
    asked: Vec<(u64, usize, u32, ExchangeId)>,
    next_call: u64,
    rng: StdRng,
}

/// The fleet.
pub struct Fleet {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub mail: VecDeque<Mail>,
    pub newest: Revision,
    pub store_is_up: bool,
    parameters: DisseminationParameters,
}

impl Fleet {
    /// Nodes that have just started and see each other; the store holds revision 1.
    pub fn new(nodes: usize, parameters: DisseminationParameters) -> Self {
        let now = Time::ZERO;
        let mut fleet = Self {
            now,
            nodes: (0..nodes)
                .map(|node| start(now, node, 0, &parameters))
                .collect(),
            mail: VecDeque::new(),
            newest: Revision(1),
            store_is_up: true,
            parameters,
        };
        fleet.show_all_members();
        fleet
    }

    pub fn show_all_members(&mut self) {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        for node in 0..self.nodes.len() {
            self.show_members(node, &all);
        }
    }

    pub fn show_members(&mut self, node: usize, members: &[usize]) {
        let places: Arc<[PeerLocation]> = members
            .iter()
            .map(|member| PeerLocation {
                node: id(*member),
                region: region(),
                leaving: false,
            })
            .collect();
        self.handle(node, Event::MembersChanged(places));
    }

    /// Replaces a process by a new one that knows nothing.
    pub fn restart(&mut self, node: usize) {
        let old = &self.nodes[node];
        let highest_served = old.highest_served;
        let mut fresh = start(self.now, node, old.life + 1, &self.parameters);
        fresh.highest_served = highest_served;
        self.nodes[node] = fresh;
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        self.show_members(node, &all);
    }

    /// The store accepts an edit made through a node, which learns of it at once.
    pub fn edit(&mut self, node: usize) {
        if !self.store_is_up {
            return;
        }
        self.newest = Revision(self.newest.0 + 1);
        let newest = self.newest;
        if let Some(applied) = self.put_in_force(node, newest) {
            self.handle(node, applied);
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for node in 0..self.nodes.len() {
            self.give_up_exchanges(node);
            self.handle(node, Event::Tick);
        }
    }

    fn give_up_exchanges(&mut self, node: usize) {
        let now = self.now;
        let open = &mut self.nodes[node].open;
        let expired: Vec<ExchangeId> = open
            .iter()
            .filter(|(_, deadline)| now >= **deadline)
            .map(|(exchange, _)| *exchange)
            .collect();
        open.retain(|_, deadline| now < *deadline);
        for exchange in expired {
            self.handle(node, Event::ExchangeFailed { exchange });
        }
    }

    /// The store answers a node's read, if there is one.
    pub fn answer_read(&mut self, node: usize) {
        if self.nodes[node].reads.pop_front().is_none() {
            return;
        }
        if !self.store_is_up {
            self.handle(node, Event::StoreAnswered(StoreAnswer::Failed));
            return;
        }
        let newest = self.newest;
        if let Some(applied) = self.put_in_force(node, newest) {
            self.handle(node, applied);
        }
        self.handle(node, Event::StoreAnswered(StoreAnswer::Read(newest)));
    }

    /// Delivers a message.
    pub fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Ask {
                from,
                to,
                exchange,
                request,
            } => {
                let life = self.nodes[from].life;
                let receiver = &mut self.nodes[to];
                let call = receiver.next_call;
                receiver.next_call += 1;
                receiver.asked.push((call, from, life, exchange));
                let from = id(from);
                let event = Event::ExchangeRequested {
                    from,
                    call,
                    request,
                };
                self.handle(to, event);
            }
            Mail::Answer {
                to,
                life,
                exchange,
                answer,
                ..
            } => {
                let receiver = &mut self.nodes[to];
                if receiver.life == life && receiver.open.remove(&exchange).is_some() {
                    self.handle(to, Event::ExchangeAnswered { exchange, answer });
                }
            }
        }
    }

    /// Lets time pass with a prompt network and store.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance(Duration::from_millis(100));
            for node in 0..self.nodes.len() {
                self.answer_read(node);
            }
            let mut rounds = 0;
            while let Some(mail) = self.mail.pop_front() {
                self.deliver(mail);
                rounds += 1;
                assert!(rounds < 10_000, "the nodes never stop talking");
            }
        }
    }

    pub fn is_ready(&self, node: usize) -> bool {
        self.nodes[node].spreader.readiness() == Readiness::Ready
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now;
            let place = &mut self.nodes[node];
            let effects = place.spreader.handle(now, event, &mut place.rng);
            for effect in effects {
                events.extend(self.carry_out(node, effect));
            }
        }
        if self.is_ready(node) {
            let place = &mut self.nodes[node];
            assert!(
                place.in_force >= place.highest_served,
                "node {node} serves {} after {}",
                place.in_force,
                place.highest_served
            );
            place.highest_served = place.in_force;
        }
    }

    fn carry_out(&mut self, node: usize, effect: Effect) -> Option<Event> {
        let held = self.nodes[node].in_force;
        match effect {
            Effect::StartExchange {
                exchange,
                to,
                digest,
                update,
            } => {
                let deadline = self.now + EXCHANGE_TIMEOUT;
                self.nodes[node].open.insert(exchange, deadline);
                let update = encode(held, update);
                let request = ExchangeRequest { digest, update };
                self.mail.push_back(Mail::Ask {
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
            Effect::Apply(update) => return self.put_in_force(node, update.revision),
            Effect::ReadStore { .. } => self.nodes[node].reads.push_back(()),
            Effect::WatcherStarted | Effect::WatcherStopped | Effect::ReadinessChanged(_) => {}
        }
        None
    }

    fn answer(&mut self, node: usize, call: u64, answer: ExchangeAnswer) {
        let asked = &mut self.nodes[node].asked;
        let position = asked.iter().position(|(known, ..)| *known == call);
        let (_, to, life, exchange) = asked.swap_remove(position.expect("it was asked"));
        self.mail.push_back(Mail::Answer {
            from: node,
            to,
            life,
            exchange,
            answer,
        });
    }

    /// As the proxy's cluster does: never replaces a revision by a lower one.
    fn put_in_force(&mut self, node: usize, revision: Revision) -> Option<Event> {
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

fn start(now: Time, node: usize, life: u32, parameters: &DisseminationParameters) -> Node {
    Node {
        spreader: ConfigurationDisseminator::new(now, id(node), region(), parameters.clone()),
        in_force: Revision(0),
        highest_served: Revision(0),
        reads: VecDeque::new(),
        open: BTreeMap::new(),
        life,
        asked: Vec::new(),
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

/// A node's number: its index, from one.
pub fn id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

fn index(node: NodeId) -> usize {
    usize::try_from(node.0).expect("a small number") - 1
}

fn region() -> RegionName {
    RegionName::new("south").expect("a valid name")
}
