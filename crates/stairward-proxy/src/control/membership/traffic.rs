//! Counters of membership datagrams, for metrics and measurements.

use std::sync::atomic::{AtomicU64, Ordering};

/// Membership traffic of a node so far, without IP and UDP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipTraffic {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received, including rejected ones.
    pub received_datagrams: u64,
    /// Bytes received, including those of rejected datagrams.
    pub received_bytes: u64,
}

/// The counters behind [`MembershipTraffic`]. Only the driver updates them.
#[derive(Debug, Default)]
pub(super) struct TrafficCounters {
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    received_datagrams: AtomicU64,
    received_bytes: AtomicU64,
}

impl TrafficCounters {
    pub fn count_sent(&self, bytes: usize) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn count_received(&self, bytes: usize) {
        self.received_datagrams.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn read(&self) -> MembershipTraffic {
        MembershipTraffic {
            sent_datagrams: self.sent_datagrams.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_datagrams: self.received_datagrams.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
        }
    }
}
