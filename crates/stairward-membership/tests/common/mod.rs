//! A handful of members whose packets are carried by hand.

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

/// A member's address.
pub fn address(node: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(node).unwrap()], 7_400))
}

/// What a member says of itself in the first version of a life.
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

/// One member with its clock and randomness.
pub struct Bench {
    pub member: SwimMember,
    pub now: Time,
    pub rng: ChaCha8Rng,
}

impl Bench {
    /// Member 1, which knows the members up to `count`.
    pub fn knowing(count: u64) -> Self {
        Self::configured(count, SwimConfig::default())
    }

    /// The same with times and sizes of its own.
    pub fn configured(count: u64, config: SwimConfig) -> Self {
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

    /// Lets another member's packet arrive.
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

    /// Runs the member's timers for a while; answers none of its packets.
    pub fn run(&mut self, time: Duration) -> Vec<Effect> {
        self.run_answering(time, |_| None)
    }

    /// Runs the member's timers for a while; `answer` may answer its packets at once.
    pub fn run_answering(
        &mut self,
        time: Duration,
        answer: impl Fn(&Packet) -> Option<(u64, Message)>,
    ) -> Vec<Effect> {
        let end = self.now + time;
        let mut seen = Vec::new();
        while self.member.next_deadline() <= end {
            self.now = self.member.next_deadline().max(self.now);
            let effects = self.handle(Event::Tick);
            let mut waiting: VecDeque<Effect> = effects.into();
            while let Some(effect) = waiting.pop_front() {
                if let Effect::Send { packet, .. } = &effect
                    && let Some((sender, message)) = answer(packet)
                {
                    waiting.extend(self.receive(sender, message, Vec::new()));
                }
                seen.push(effect);
            }
        }
        self.now = end;
        seen
    }

    /// Whether a member is in the view.
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

/// Answers pings of every member but these.
pub fn all_answer_but(silent: &[u64]) -> impl Fn(&Packet) -> Option<(u64, Message)> {
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

/// The failure of a member's first version.
pub fn failed(node: u64) -> Update {
    Update::Failed {
        node: NodeId(node),
        version: Version::first(Incarnation(1)),
    }
}

/// A member's word that it is alive.
pub fn alive(profile: Profile) -> Update {
    Update::Alive(Arc::new(profile))
}
