//! Failover of database groups that don't elect a primary themselves.
//!
//! Every node runs a [`FailoverController`]; at any time at most one node acts on a service. The
//! right to act is the service's [`FailoverRecord`] in the metadata store, which is changed by
//! conditional writes and is valid for a lease. Each promotion is decided under one such write. The
//! version of the record after that write is the fencing token of the decision: versions only
//! increase, and no two nodes or decisions share one. Services are handled independently of each
//! other.
//!
//! The controller does no I/O: the caller passes in the time and events and carries out the effects
//! that it returns.

#![forbid(unsafe_code)]

mod attempt;
mod consultation;
mod controller;
mod demotion;
mod event;
mod evidence;
mod in_sync;
mod last_known_primaries;
mod member_review;
mod options;
mod placement;
mod records;
mod start_delay;

pub use controller::FailoverController;
pub use demotion::DemotionProof;
pub use event::{
    Effect, Event, FailoverRecord, FailoverStep, FencingToken, GroupState, InSyncRecord,
    KnownPromotion, LeaderEvidence, MemberCallResult, MemberState, PromotionOutcome, RecordVersion,
    RecordedPromotion, ReviewCall, Via,
};
pub use last_known_primaries::LastKnownPrimaries;
pub use options::{FailoverOptions, LEADERSHIP_LEASE};
pub use placement::Placement;
pub use stairward_types::MemberStatus;
