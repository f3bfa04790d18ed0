//! Following objects of the metadata store through a few watchers.
//!
//! A *feed* is all objects of one kind, as the store holds them at a revision. In each region the members
//! that rank first are its watchers: they watch the store and push what changes to their followers, together
//! with word that nothing else has changed. Every other node follows two watchers, and reads the store itself
//! only while neither has confirmed the feed for a while: watchers may be dead, cut off, or turned away by a
//! store that serves others. In a region of a few nodes every node is a watcher.
//!
//! A node that starts takes a listing that may be seconds old, which costs the store little, and begins to read
//! only once its view of the others has settled or its watchers have not confirmed the feed in time.
//!
//! [`Feed`] makes the decisions of one node for one feed. It does no I/O, and the objects pass through it as
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
