//! Membership view, failure detection, rendezvous ownership and dissemination.
//!
//! All state machines are pure: time, randomness and input are passed in, and the resulting effects
//! are returned. The driver of [`SwimMember`] owns the socket. It decodes received bytes into a
//! [`Packet`] with [`decode`], passes events to [`SwimMember::handle`], carries out the effects,
//! and sends [`Event::Tick`] at [`SwimMember::next_deadline`].

#![forbid(unsafe_code)]

mod broadcast;
mod config;
pub mod configuration;
pub mod feed;
mod holder_ranking;
mod introduction;
mod local_health;
mod member;
mod ownership;
mod packet;
mod peer_clock;
mod probe;
mod suspicion;
mod swim;
mod table;
mod terms;
mod wire;

pub use config::SwimConfig;
pub use holder_ranking::HolderRanking;
pub use member::{Profile, Status, Version};
pub use ownership::{Candidate, Ranking, rank_owners};
pub use packet::{Message, Packet, PacketDigest, TermUpdate, Update};
pub use peer_clock::PeerClock;
pub use swim::{Effect, Event, MemberChange, SwimMember};
pub use wire::{decode, encode, encoded_length};
