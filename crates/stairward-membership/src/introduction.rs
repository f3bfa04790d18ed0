//! Addresses at which other nodes may be found: seeds from the process file, and the platform's list
//! of machines.
//!
//! The platform's list lags behind, so an address on it is only a place to knock at: it never makes
//! or ends a member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stairward_types::{Duration, Time};

/// Addresses kept at most; further ones are ignored.
const CAPACITY: usize = 4_096;
/// Addresses knocked at in one go.
const BATCH: usize = 4;
/// Pause between two such batches while addresses are waiting.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Attempt {
    next: Time,
    interval: Duration,
}

/// The addresses, with the time of the next attempt at each.
#[derive(Debug, Clone, Default)]
pub(crate) struct Introductions {
    attempts: BTreeMap<SocketAddr, Attempt>,
    seeds: Vec<SocketAddr>,
    next_batch: Time,
}

impl Introductions {
    /// Starts with the seeds, which are kept for good.
    pub fn new(seeds: &[SocketAddr], now: Time, interval: Duration) -> Self {
        let mut introductions = Self {
            seeds: seeds.iter().copied().take(CAPACITY).collect(),
            ..Self::default()
        };
        introductions.add(seeds, now, interval);
        introductions
    }

    /// Replaces the addresses of the platform's list.
    pub fn replace_listed(&mut self, listed: &[SocketAddr], now: Time, interval: Duration) {
        let seeds = &self.seeds;
        self.attempts
            .retain(|address, _| seeds.contains(address) || listed.contains(address));
        self.add(listed, now, interval);
    }

    /// Takes addresses that are due, not more than one batch.
    pub fn take_due(&mut self, now: Time, maximum_interval: Duration) -> Vec<SocketAddr> {
        if now < self.next_batch {
            return Vec::new();
        }
        let due: Vec<SocketAddr> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.next <= now)
            .map(|(address, _)| *address)
            .take(BATCH)
            .collect();
        for address in &due {
            self.back_off(*address, now, maximum_interval);
        }
        self.next_batch = now + BATCH_INTERVAL;
        due
    }

    /// When an address is next due.
    pub fn next_deadline(&self) -> Time {
        let next = self.attempts.values().map(|attempt| attempt.next).min();
        next.map_or(Time::NEVER, |next| next.max(self.next_batch))
    }

    fn add(&mut self, addresses: &[SocketAddr], now: Time, interval: Duration) {
        for address in addresses {
            if self.attempts.len() >= CAPACITY {
                return;
            }
            let attempt = Attempt {
                next: now,
                interval,
            };
            self.attempts.entry(*address).or_insert(attempt);
        }
    }

    fn back_off(&mut self, address: SocketAddr, now: Time, maximum_interval: Duration) {
        if let Some(attempt) = self.attempts.get_mut(&address) {
            let interval = attempt.interval.min(maximum_interval);
            attempt.next = now + interval;
            attempt.interval = (interval * 2).min(maximum_interval);
        }
    }
}
