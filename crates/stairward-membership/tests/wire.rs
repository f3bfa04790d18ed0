//! Encoding of packets: exact lengths, round trips and invalid input.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use bolero::TypeGenerator;
use stairward_membership::{
    Message, Packet, PacketDigest, Profile, TermUpdate, Update, Version, decode, encode,
    encoded_length,
};
use stairward_protocol::ClusterKey;
use stairward_protocol::datagram::{DatagramError, MAXIMUM_DATAGRAM_BYTES};
use stairward_testing::check;
use stairward_types::{
    BackendId, GroupId, Incarnation, NodeId, RegionName, Revision, Term, ZoneName,
};

fn key(secret: &str) -> ClusterKey {
    ClusterKey::new(secret).unwrap()
}

/// Generated content from which packets of every kind are built.
#[derive(Debug, Clone, TypeGenerator)]
struct Content {
    numbers: [u64; 6],
    refutation: u32,
    kind: u8,
    digests: [u32; 4],
    updates: Vec<(u8, u64, u64, bool)>,
    terms: Vec<u64>,
    is_ipv6: bool,
}

impl Content {
    fn address(&self) -> SocketAddr {
        let text = if self.is_ipv6 {
            "[2001:db8::7]:7400"
        } else {
            "10.1.2.3:7400"
        };
        text.parse().unwrap()
    }

    fn message(&self) -> Message {
        let sequence = self.numbers[0];
        let target = NodeId(self.numbers[1]);
        let mut digests = Box::new([0; 128]);
        digests[..4].copy_from_slice(&self.digests);
        let bucket = self.kind;
        let is_answer = self.is_ipv6;
        match self.kind % 10 {
            0 => Message::Ping { sequence, target },
            1 => Message::Ack { sequence },
            2 => Message::IndirectPing {
                sequence,
                target,
                address: self.address(),
            },
            3 => Message::Nack { sequence },
            4 => Message::Introduce { sequence },
            5 => Message::Gossip,
            6 => Message::CompareMembers { digests },
            7 => Message::Members { bucket, is_answer },
            8 => Message::CompareTerms { digests },
            _ => Message::Terms { bucket, is_answer },
        }
    }

    fn update(&self, (kind, node, incarnation, flag): (u8, u64, u64, bool)) -> Update {
        let node = NodeId(node);
        let version = Version {
            incarnation: Incarnation(incarnation),
            refutation: self.refutation,
        };
        match kind % 4 {
            0 => Update::Alive(Arc::new(Profile {
                node,
                version,
                address: self.address(),
                region: RegionName::new("east").unwrap(),
                zone: ZoneName::new("east-a").unwrap(),
                leaving: flag,
            })),
            1 => Update::Suspect {
                node,
                version,
                accusers: vec![node; usize::from(kind % 3)],
            },
            2 => Update::Failed { node, version },
            _ => Update::Left { node, version },
        }
    }

    fn packet(&self) -> Packet {
        let updates = self.updates.iter().take(8);
        Packet {
            sender: NodeId(self.numbers[2]),
            sender_version: Version::first(Incarnation(self.numbers[3])),
            digest: PacketDigest {
                settings_revision: Revision(self.numbers[4]),
                members: self.numbers[5],
                terms: self.numbers[0],
            },
            message: self.message(),
            updates: updates.map(|update| self.update(*update)).collect(),
            terms: self
                .terms
                .iter()
                .take(4)
                .map(|term| term_update(*term))
                .collect(),
        }
    }
}

fn term_update(term: u64) -> Arc<TermUpdate> {
    Arc::new(TermUpdate {
        group: GroupId::new("orders").unwrap(),
        term: Term(term),
        primary: BackendId::new("orders-1").unwrap(),
    })
}

#[test]
fn packets_round_trip_at_their_exact_encoded_length() {
    let key = key("a shared secret 16");
    check!().with_type::<Content>().for_each(|content| {
        let packet = content.packet();
        let bytes = encode(&packet, &key).unwrap();
        assert_eq!(bytes.len(), encoded_length(&packet));
        assert!(bytes.len() <= MAXIMUM_DATAGRAM_BYTES);
        assert_eq!(decode(&bytes, &key).unwrap(), packet);
    });
}

#[test]
fn random_bytes_are_rejected() {
    let key = key("a shared secret 16");
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        assert!(decode(bytes, &key).is_err());
    });
}

#[test]
fn a_modified_or_truncated_packet_is_rejected() {
    let key = key("a shared secret 16");
    check!()
        .with_type::<(Content, u16, u8)>()
        .for_each(|(content, position, flip)| {
            let mut bytes = encode(&content.packet(), &key).unwrap();
            let position = usize::from(*position) % bytes.len();
            assert!(decode(&bytes[..position], &key).is_err());
            bytes[position] ^= flip | 1;
            assert_eq!(decode(&bytes, &key), Err(DatagramError::Proof));
        });
}

/// Signs the random bytes with the cluster key, so that they pass the proof check and reach the
/// decoder.
#[test]
fn authenticated_random_bytes_never_panic() {
    let key = key("a shared secret 16");
    check!().with_type::<Vec<u8>>().for_each(|content| {
        let mut bytes = content.clone();
        let proof = key.sign("membership-datagram", &[content]);
        bytes.extend_from_slice(&proof[..16]);
        let _ = decode(&bytes, &key);
    });
}

#[test]
fn a_packet_of_another_cluster_is_rejected() {
    let packet = Packet {
        sender: NodeId(1),
        sender_version: Version::default(),
        digest: PacketDigest::default(),
        message: Message::Gossip,
        updates: Vec::new(),
        terms: Vec::new(),
    };
    let bytes = encode(&packet, &key("another shared secret")).unwrap();
    let result = decode(&bytes, &key("a shared secret 16"));
    assert_eq!(result, Err(DatagramError::Proof));
}
