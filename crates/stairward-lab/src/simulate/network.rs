//! The network of a run: delays, cuts, and late or doubled messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stairward_types::{BackendId, Time};

use super::layout::Layout;
use super::random::Random;
use crate::site::Site;

/// Least delay between two processes on different machines.
const LEAST_DELAY: Duration = Duration::from_micros(100);
/// Delays vary by up to this share.
const JITTER_DIVISOR: u32 = 10;
/// Delay added to a late message, at most.
const MAXIMUM_LATENESS: Duration = Duration::from_millis(300);
/// Share of messages that are late while messages come late.
const LATE_SHARE: f64 = 0.2;
/// Share of messages that come twice meanwhile.
const DOUBLE_SHARE: f64 = 0.1;

/// One end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum End {
    /// A proxy, by place in the layout.
    Proxy(usize),
    /// A database, by its place and its group.
    Database(usize, usize),
    /// A caller's session.
    Caller(u64),
    /// The platform's store.
    Store,
}

/// Who cannot reach whom.
#[derive(Debug, Default)]
pub(super) struct Cuts {
    /// Proxies cut off from all other proxies.
    pub isolated: BTreeSet<usize>,
    /// Proxies cut off from everything outside their place, callers excepted.
    pub confined: BTreeSet<usize>,
    /// Databases that only proxies of their own place reach.
    pub confined_databases: BTreeSet<(usize, usize)>,
}

/// The network.
#[derive(Debug)]
pub(super) struct Network<'site> {
    site: &'site Site,
    proxy_places: Vec<usize>,
    /// Who cannot reach whom.
    pub cuts: Cuts,
    /// Whether messages between proxies come late, twice and out of order.
    pub is_unsteady: bool,
    /// The last delivery on each link that keeps its order.
    last: BTreeMap<(End, End), Time>,
}

impl<'site> Network<'site> {
    /// The network of a site.
    pub(super) fn new(site: &'site Site, layout: &Layout) -> Self {
        Self {
            site,
            proxy_places: layout.proxies.iter().map(|(_, place)| *place).collect(),
            cuts: Cuts::default(),
            is_unsteady: false,
            last: BTreeMap::new(),
        }
    }

    fn place(&self, end: End) -> Option<usize> {
        match end {
            End::Proxy(proxy) => self.proxy_places.get(proxy).copied(),
            End::Database(place, _) => Some(place),
            End::Caller(_) | End::Store => None,
        }
    }

    /// Whether messages pass between two ends.
    pub(super) fn connected(&self, from: End, to: End) -> bool {
        from == to || (self.lets_out(from, to) && self.lets_out(to, from))
    }

    fn lets_out(&self, from: End, to: End) -> bool {
        let is_elsewhere = self.place(from) != self.place(to);
        match from {
            End::Proxy(proxy) => {
                let cut_from_proxies = self.cuts.isolated.contains(&proxy);
                let is_confined = self.cuts.confined.contains(&proxy);
                match to {
                    End::Proxy(_) => !cut_from_proxies && !is_confined,
                    End::Database(..) => !(is_confined && is_elsewhere),
                    End::Store => !is_confined,
                    End::Caller(_) => true,
                }
            }
            End::Database(place, group) => {
                let is_confined = self.cuts.confined_databases.contains(&(place, group));
                !(is_confined && is_elsewhere)
            }
            End::Caller(_) | End::Store => true,
        }
    }

    fn base_delay(&self, from: End, to: End) -> Duration {
        let latencies = self.site.latencies();
        match (from, to) {
            (End::Caller(_), _) | (_, End::Caller(_)) => latencies.to_clients(),
            (End::Store, _) | (_, End::Store) => Duration::from_millis(2),
            _ => match (self.place(from), self.place(to)) {
                (Some(from), Some(to)) => latencies.between(from, to),
                _ => Duration::ZERO,
            },
        }
    }

    /// When a message sent now arrives. Links between two ends keep their order.
    pub(super) fn arrival(&mut self, now: Time, from: End, to: End, random: &mut Random) -> Time {
        if from == to {
            return now;
        }
        let arrives = now + self.delay(from, to, random);
        let last = self.last.entry((from, to)).or_default();
        *last = arrives.max(*last);
        *last
    }

    /// When a message of a link that does not keep its order arrives.
    pub(super) fn unordered_arrival(
        &self,
        now: Time,
        from: End,
        to: End,
        random: &mut Random,
    ) -> Time {
        if from == to {
            return now;
        }
        let lateness = if self.is_unsteady && random.chance(LATE_SHARE) {
            random.between(Duration::ZERO, MAXIMUM_LATENESS)
        } else {
            Duration::ZERO
        };
        now + self.delay(from, to, random) + lateness
    }

    fn delay(&self, from: End, to: End, random: &mut Random) -> Duration {
        let base = self.base_delay(from, to).max(LEAST_DELAY);
        base + random.between(Duration::ZERO, base / JITTER_DIVISOR)
    }

    /// Whether a message between proxies is delivered a second time.
    pub(super) fn is_doubled(&self, random: &mut Random) -> bool {
        self.is_unsteady && random.chance(DOUBLE_SHARE)
    }

    /// The end at which a database stands.
    pub(super) fn database_end(layout: &Layout, backend: &BackendId) -> Option<End> {
        let database = layout.databases.get(backend)?;
        Some(End::Database(database.place, database.group))
    }
}
