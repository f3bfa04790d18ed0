//! The failover duty, for databases that don't elect a primary themselves.
//!
//! Every node runs a [`FailoverController`]; at any time at most one acts on a service. The right to act is the
//! service's record in the metadata store, changed by conditional writes. Each decision to promote is one such
//! write, and the record's version after it is the decision's fencing token: it only rises, and never serves two
//! nodes or two decisions. Services don't wait for each other. Everything is pure: time and events go in,
//! effects come out.

#![forbid(unsafe_code)]

mod attempt;
mod controller;
mod demotion;
mod event;
mod evidence;
mod last_known_primaries;
mod options;
mod placement;
mod records;
mod start_delay;

pub use controller::FailoverController;
pub use demotion::DemotionProof;
pub use event::{
    Effect, Event, FailoverRecord, FailoverStep, FencingToken, GroupState, LeaderEvidence,
    MemberCallResult, MemberState, PromotionOutcome, RecordVersion, Via,
};
pub use last_known_primaries::LastKnownPrimaries;
pub use options::{FailoverOptions, LEADERSHIP_LEASE};
pub use placement::Placement;
pub use stairward_types::MemberStatus;
