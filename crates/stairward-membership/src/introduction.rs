//! Addresses for contacting unknown members: seeds from the process file and the platform's list of
//! machines.
//!
//! The platform's list may be outdated. Its addresses are only contacted; they never add or remove
//! a member.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stairward_types::{Duration, Time};

/// Maximum number of addresses; further ones are ignored.
const CAPACITY: usize = 4_096;
/// Addresses contacted at a time.
const BATCH: usize = 4;
/// Time between two batches while addresses are due.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Attempt {
    next: Time,
    interval: Duration,
}

/// The addresses and the time of the next attempt for each.
#[derive(Debug, Clone, Default)]
pub(crate) struct Introductions {
    attempts: BTreeMap<SocketAddr, Attempt>,
    seeds: Vec<SocketAddr>,
    next_batch: Time,
}

impl Introductions {
    /// Starts with the seeds, which are never removed.
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

    /// Returns up to one batch of due addresses and schedules their next attempts.
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

    /// When the next address is due.
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
