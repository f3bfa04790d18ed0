//! Division of a back end's connections between its owner and its standby.

/// Connections reserved for control connections of nodes that try to acquire a lease, and for one
/// connection that a paused holder may open just after its lease expired.
pub const CONTENDER_RESERVE: u32 = 4;

/// The standby's share is one connection in this many.
const STANDBY_DIVISOR: u32 = 10;

/// Smallest useful share: one control connection and one for statements.
const SMALLEST_SHARE: u32 = 2;

/// The roles in which a node may hold connections of a back end. Each role has its own lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnerRole {
    /// Holds most of the connections.
    Owner,
    /// Holds a small share and takes over when the owner is lost.
    Standby,
}

impl OwnerRole {
    /// Both roles.
    pub const ALL: [Self; 2] = [Self::Owner, Self::Standby];

    /// The role's name in `application_name`.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Standby => "standby",
        }
    }
}

/// Whether a node should hold a role or try to acquire it.
///
/// `ranked` is the role that the membership view assigns to the node. A standby that is promoted to owner
/// keeps the standby role until it holds the owner role, so that the back end is served in between.
#[must_use]
pub fn should_hold(
    role: OwnerRole,
    ranked: Option<OwnerRole>,
    holds_owner: bool,
    holds_standby: bool,
) -> bool {
    let is_promoted = ranked == Some(OwnerRole::Owner);
    match role {
        OwnerRole::Owner => is_promoted,
        OwnerRole::Standby => {
            let keeps_standby = is_promoted && holds_standby && !holds_owner;
            keeps_standby || ranked == Some(OwnerRole::Standby)
        }
    }
}

/// The fixed division of a back end's connection limit. The shares and the reserve add up to at most
/// the limit, so each holder can respect it without coordination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShares {
    /// The owner's connections, its control connection included.
    pub owner: u32,
    /// The standby's connections, its control connection included; 0 when the limit is too small
    /// for a standby.
    pub standby: u32,
    /// Connections reserved for nodes that try to acquire a lease.
    pub reserve: u32,
}

impl ConnectionShares {
    /// Divides a back end's connection limit.
    #[must_use]
    pub fn divide(limit: u32) -> Self {
        let standby = (limit / STANDBY_DIVISOR).max(SMALLEST_SHARE);
        let fits = limit >= standby + CONTENDER_RESERVE + SMALLEST_SHARE;
        let (standby, reserve) = if fits {
            (standby, CONTENDER_RESERVE)
        } else {
            (0, u32::from(limit > SMALLEST_SHARE))
        };
        Self {
            owner: limit - standby - reserve,
            standby,
            reserve,
        }
    }

    /// The share of a role, its control connection included.
    #[must_use]
    pub const fn of(&self, role: OwnerRole) -> u32 {
        match role {
            OwnerRole::Owner => self.owner,
            OwnerRole::Standby => self.standby,
        }
    }

    /// Connections of a role for statements: its share without the control connection.
    #[must_use]
    pub const fn working(&self, role: OwnerRole) -> u32 {
        self.of(role).saturating_sub(1)
    }
}
