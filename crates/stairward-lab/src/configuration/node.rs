//! One simulated node: the real spreader, and what a driver would keep for it.

use std::collections::BTreeMap;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use stairward_membership::configuration::{
    ConfigurationDisseminator, DisseminationParameters, ExchangeAnswer, ExchangeId, ExchangeRequest,
};
use stairward_types::{Duration, NodeId, RegionName, Revision, Time};

/// How long a peer may take to answer an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// What nodes send each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Message {
    /// Starts an exchange.
    Ask {
        exchange: ExchangeId,
        request: ExchangeRequest,
    },
    /// Answers it.
    Answer {
        exchange: ExchangeId,
        answer: ExchangeAnswer,
    },
}

/// One life of a process.
pub(super) struct Node {
    pub(super) spreader: ConfigurationDisseminator,
    pub(super) rng: ChaCha8Rng,
    /// Distinguishes the lives of a place.
    pub(super) life: u32,
    /// The revision in force.
    pub(super) in_force: Revision,
    /// Exchanges without an answer, and when each is given up.
    pub(super) open: BTreeMap<ExchangeId, Time>,
    /// When the read under way is given up.
    pub(super) read_deadline: Option<Time>,
}

impl Node {
    /// A process that starts now.
    pub(super) fn start(now: Time, node: NodeId, region: RegionName, life: u32, seed: u64) -> Self {
        let parameters = DisseminationParameters::default();
        let stream = node.0 * 1_000 + u64::from(life);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Self {
            spreader: ConfigurationDisseminator::new(now, node, region, parameters),
            rng,
            life,
            in_force: Revision(0),
            open: BTreeMap::new(),
            read_deadline: None,
        }
    }

    /// Notes that an exchange was started.
    pub(super) fn opened(&mut self, now: Time, exchange: ExchangeId) {
        self.open.insert(exchange, now + EXCHANGE_TIMEOUT);
    }

    /// Takes out the exchanges that have waited too long.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<ExchangeId> {
        let expired: Vec<ExchangeId> = self
            .open
            .iter()
            .filter(|(_, deadline)| now >= **deadline)
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in &expired {
            self.open.remove(exchange);
        }
        expired
    }

    /// Takes the read under way out when it has waited too long.
    pub(super) fn take_expired_read(&mut self, now: Time) -> bool {
        self.read_deadline
            .take_if(|deadline| now >= *deadline)
            .is_some()
    }
}
