//! Test harness for a single member, with packets exchanged by the test itself.

#![allow(dead_code)]

pub mod network;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use stairward_membership::{
    Effect, Event, Message, Packet, PacketDigest, Profile, SwimConfig, SwimMember, Update, Version,
};
use stairward_types::{Duration, Incarnation, NodeId, RegionName, Time, ZoneName};

pub fn address(node: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(node).unwrap()], 7_400))
}

/// The profile of a member in the first version of an incarnation.
pub fn profile(node: u64, incarnation: u64) -> Profile {
    Profile {
        node: NodeId(node),
        version: Version::first(Incarnation(incarnation)),
        address: address(node),
        region: RegionName::new("east").unwrap(),
        zone: ZoneName::new("east-a").unwrap(),
        leaving: false,
    }
}

/// A member with its clock and random generator.
pub struct Harness {
    pub member: SwimMember,
    pub now: Time,
    pub rng: ChaCha8Rng,
}

impl Harness {
    /// Member 1, knowing members 2 to `count`.
    pub fn with_members(count: u64) -> Self {
        Self::with_config(count, SwimConfig::default())
    }

    /// The same with the given configuration.
    pub fn with_config(count: u64, config: SwimConfig) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let now = Time::from_millis(1_000);
        let mut member = SwimMember::new(profile(1, 1), &[], config, now, &mut rng);
        let others: Vec<Arc<Profile>> =
            (2..=count).map(|node| Arc::new(profile(node, 1))).collect();
        member.preload(&others, now, &mut rng);
        Self { member, now, rng }
    }

    pub fn handle(&mut self, event: Event) -> Vec<Effect> {
        self.member.handle(self.now, event, &mut self.rng)
    }

    /// Delivers a packet from another member.
    pub fn receive(&mut self, sender: u64, message: Message, updates: Vec<Update>) -> Vec<Effect> {
        let packet = Packet {
            sender: NodeId(sender),
            sender_version: Version::first(Incarnation(1)),
            digest: PacketDigest {
                members: self.member.view_digest(),
                ..PacketDigest::default()
            },
            message,
            updates,
            terms: Vec::new(),
        };
        let from = address(sender);
        self.handle(Event::Received { from, packet })
    }

    pub fn gossip(&mut self, updates: Vec<Update>) -> Vec<Effect> {
        self.receive(2, Message::Gossip, updates)
    }

    /// Runs the member's timers without answering its packets.
    pub fn run(&mut self, time: Duration) -> Vec<Effect> {
        self.run_answering(time, |_| None)
    }

    /// Runs the member's timers; `answer` may answer each of its packets at once.
    pub fn run_answering(
        &mut self,
        time: Duration,
        answer: impl Fn(&Packet) -> Option<(u64, Message)>,
    ) -> Vec<Effect> {
        let end = self.now + time;
        let mut all_effects = Vec::new();
        while self.member.next_deadline() <= end {
            self.now = self.member.next_deadline().max(self.now);
            let effects = self.handle(Event::Tick);
            let mut pending: VecDeque<Effect> = effects.into();
            while let Some(effect) = pending.pop_front() {
                if let Effect::Send { packet, .. } = &effect
                    && let Some((sender, message)) = answer(packet)
                {
                    pending.extend(self.receive(sender, message, Vec::new()));
                }
                all_effects.push(effect);
            }
        }
        self.now = end;
        all_effects
    }

    pub fn sees(&self, node: u64) -> bool {
        self.member
            .view()
            .any(|profile| profile.node == NodeId(node))
    }

    /// A member's profile in the view.
    pub fn view_of(&self, node: u64) -> &Profile {
        self.member
            .view()
            .find(|profile| profile.node == NodeId(node))
            .unwrap()
    }
}

/// Answers the pings to all members except these.
pub fn all_answer_except(silent: &[u64]) -> impl Fn(&Packet) -> Option<(u64, Message)> {
    move |packet| match packet.message {
        Message::Ping { sequence, target } if !silent.contains(&target.0) => {
            Some((target.0, Message::Ack { sequence }))
        }
        _ => None,
    }
}

/// The packets among the effects.
pub fn sent(effects: &[Effect]) -> impl Iterator<Item = (SocketAddr, &Packet)> {
    effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, packet } => Some((*to, packet)),
        _ => None,
    })
}

/// A suspicion of a member's first version.
pub fn suspect(node: u64, accuser: u64) -> Update {
    Update::Suspect {
        node: NodeId(node),
        version: Version::first(Incarnation(1)),
        accusers: vec![NodeId(accuser)],
    }
}

/// A failure of a member's first version.
pub fn failed(node: u64) -> Update {
    Update::Failed {
        node: NodeId(node),
        version: Version::first(Incarnation(1)),
    }
}

/// An announcement by a member that it is alive.
pub fn alive(profile: Profile) -> Update {
    Update::Alive(Arc::new(profile))
}
