//! How the connections of a back end are divided between its owner and its standby.

/// Connections set aside for control connections of nodes that ask for a lease they don't hold yet,
/// and for one connection that a paused holder may open just after its lease lapsed.
pub const CONTENDER_RESERVE: u32 = 4;

/// The standby's share is one connection in this many.
const STANDBY_DIVISOR: u32 = 10;

/// Least connections worth having: one for control, one for work.
const SMALLEST_SHARE: u32 = 2;

/// The two roles in which a node may hold connections of a back end. Each has a lease of its own.
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

/// Whether a node should hold a role, or try to.
///
/// `ranked` is the role that the membership view gives the node. A standby that has become first in
/// rank keeps its share until it holds the owner's, so that the back end is served meanwhile.
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
            let bridges = is_promoted && holds_standby && !holds_owner;
            bridges || ranked == Some(OwnerRole::Standby)
        }
    }
}

/// The fixed division of a back end's connection limit. The parts and the reserve add up to the
/// limit at most, so each holder can keep to its part without knowing what the other does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShares {
    /// The owner's connections, its control connection included.
    pub owner: u32,
    /// The standby's connections, its control connection included; 0 when the limit is too small
    /// for a standby.
    pub standby: u32,
    /// Connections kept free for contenders.
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

    /// Connections of a role for work: its share without the control connection.
    #[must_use]
    pub const fn working(&self, role: OwnerRole) -> u32 {
        self.of(role).saturating_sub(1)
    }
}
