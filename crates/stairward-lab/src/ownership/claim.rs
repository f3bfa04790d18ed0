//! One node's claim on one role at one back end.

use stairward_pool::lease::LeaseSettings;
use stairward_pool::{ConnectionShares, Lease, OwnerRole};

use crate::simulated_network::NodeIndex;

/// Which claim: unique in a run.
pub(super) type ClaimIndex = usize;

/// A claim, as its node sees it.
#[derive(Debug)]
pub(super) struct Claim {
    /// Whose claim.
    pub(super) node: NodeIndex,
    /// On which back end.
    pub(super) backend: usize,
    /// In which role.
    pub(super) role: OwnerRole,
    /// The real lease.
    pub(super) lease: Lease,
    /// The control session, while the node believes to have one.
    pub(super) session: Option<u64>,
    /// Working connections as the node counts them, those being opened included.
    pub(super) counted: u32,
    /// How many of them are being opened.
    pub(super) opening: u32,
    /// Whether the lease said that connections may be used.
    pub(super) in_use: bool,
    /// Working connections it may hold.
    pub(super) share: u32,
}

impl Claim {
    pub(super) fn new(node: NodeIndex, backend: usize, role: OwnerRole, limit: u32) -> Self {
        Self {
            node,
            backend,
            role,
            lease: Lease::new(LeaseSettings::default()),
            session: None,
            counted: 0,
            opening: 0,
            in_use: false,
            share: ConnectionShares::divide(limit).working(role),
        }
    }
}
