//! The failover duty, for databases that don't elect a primary themselves.
//!
//! Every node runs a [`FailoverDuty`]; at any time at most one acts on a service. The right to act is the
//! service's record in the metadata store, changed by conditional writes. Each decision to promote is one such
//! write, and the record's version after it is the decision's fencing token: it only rises, and never serves two
//! nodes or two decisions. Services don't wait for each other. Everything is pure: time and events go in,
//! effects come out.

#![forbid(unsafe_code)]

mod attempt;
mod duty;
mod ending;
mod event;
mod evidence;
mod leader_memory;
mod options;
mod placement;
mod records;
mod turn;

pub use duty::FailoverDuty;
pub use ending::EndProof;
pub use event::{
    Action, DutyRecord, Effect, Event, FencingToken, GroupState, LeaderEvidence, MemberState,
    PromotionOutcome, Reach, RecordVersion, Via,
};
pub use leader_memory::LeaderMemory;
pub use options::{FailoverOptions, LEADERSHIP_LEASE};
pub use placement::Placement;
pub use stairward_types::MemberStatus;
