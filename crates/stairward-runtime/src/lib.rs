//! Runs the statement engine and the failover state machine of one node over real sockets.
//!
//! The embedding program supplies the statement protocol as a [`Wire`] and the metadata store and
//! promotion call as a [`Coordination`]. Everything runs on one thread, in a
//! `tokio::task::LocalSet`.

#![forbid(unsafe_code)]

pub mod backend_registry;
mod backends;
mod callers;
mod compression;
pub mod content_delta;
mod coordination;
mod failover;
mod failover_peers;
mod feeds;
mod health;
pub mod holders;
mod limit_messages;
mod log;
mod member_connection;
pub mod member_replies;
mod member_requests;
mod membership;
mod node;
mod peer_link;
mod peers;
pub mod prometheus;
mod promotion_messages;
mod socket;
pub mod statement_messages;
mod traffic;
mod unsent;
mod wire;

pub use coordination::{
    Coordination, CoordinationFuture, FleetSizeWrite, InSyncRecordWrite, RecordWrite,
};
pub use feeds::{FeedObjects, FeedTimeouts, PUBLISH_INTERVAL};
pub use health::{HealthService, Readiness};
pub use member_requests::{DoubtedMemberReply, MemberConnections};
pub use membership::PeerIdentity;
pub use node::{Node, NodeOptions};
pub use peer_link::fetch_document;
pub use stairward_membership::feed::{FeedContent, RestoredView, StoreObject, StoreRetry};
pub use wire::{CallerMessage, EncodeError, MemberRequest, Wire, WireError};
