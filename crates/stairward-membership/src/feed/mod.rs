//! Distribution of the metadata store's objects through a few watchers.
//!
//! A *feed* consists of all objects of one kind, as the store holds them at a revision. The
//! first-ranked members of each region are its watchers: they watch the store and push changes to
//! their followers, together with confirmations that nothing else has changed. Every other node
//! follows two watchers and reads the store directly only while neither has confirmed the feed for
//! some time, because the watchers may have failed, be partitioned, or be rejected by an overloaded
//! store. In a region of only a few nodes every node is a watcher.
//!
//! A starting node uses a listing that may be seconds old, which is cheap for the store. It reads
//! the store directly only once its membership view has settled or its watchers have not confirmed
//! the feed in time.
//!
//! [`Feed`] is the state machine of one node for one feed. It does no I/O and treats the objects as
//! opaque bytes.

mod follower;
mod followers;
mod message;
mod parameters;
mod ranking;
mod restored_view;
mod retry;

pub use follower::{Feed, MAXIMUM_IMMEDIATE_PUSH_BYTES};
pub use message::{Effect, Event, FeedContent, FollowerId};
pub use parameters::FeedParameters;
pub use restored_view::{RestoredView, StoreObject};
pub use retry::StoreRetry;
