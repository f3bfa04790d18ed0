//! Codec of the messages between nodes: round trips, and decoding of arbitrary bytes.

use bytes::BytesMut;
use stairward_protocol::node_message::{
    ForwardedAnswer, ForwardedStatement, MemberReplyMessage, MemberRequestMessage, NodeMessage,
    PromotionMessage, SessionValue, StatementTag,
};
use stairward_protocol::{ByteString, OptionalFreshness, Text, decode_frame, encode_frame};
use stairward_testing::check;
use stairward_types::{Freshness, LogPosition, Term};

fn promotion() -> PromotionMessage {
    PromotionMessage {
        service: Text::new("reader-core"),
        announced: 5,
        leader: Text::new("i-7f3a91c2"),
        term: 4,
        is_pending: 1,
    }
}

fn messages() -> Vec<NodeMessage> {
    let position = OptionalFreshness::from(Some(Freshness::new(Term(3), LogPosition(1_207))));
    let statement = ForwardedStatement::new(
        7,
        9,
        "reader-core",
        12,
        "miny420",
        true,
        800,
        position,
        2,
        b"q2c".to_vec(),
        StatementTag::Execute,
        b"5c0e".to_vec(),
        b"1a4 xkq".to_vec(),
    );
    let values = vec![SessionValue {
        name: ByteString::new(b"lang".to_vec()),
        value: ByteString::new(b"ms".to_vec()),
    }];
    let mut messages = vec![
        NodeMessage::QueryDocument {
            name: Text::new("routes"),
        },
        NodeMessage::Document {
            name: Text::new("routes"),
            content: ByteString::new(vec![1, 2, 3]),
        },
        NodeMessage::Forward(statement.with_values(values)),
        NodeMessage::Answer(ForwardedAnswer {
            session: 7,
            request: 9,
            outcome: 1,
            code: 0,
            retry_after_milliseconds: 0,
            text: ByteString::new(b"7.1f3".to_vec()),
            status: 1,
            position,
            row_count: 1,
            rows: vec![ByteString::new(b"qhz".to_vec())],
        }),
        NodeMessage::QueryPosition {
            service: Text::new("reader-core"),
            asked_at_microseconds: 12,
        },
        NodeMessage::Position {
            service: Text::new("reader-core"),
            asked_at_microseconds: 12,
            position,
            age_microseconds: 30,
        },
        NodeMessage::CloseSession { session: 7 },
    ];
    messages.extend(leader_messages(position));
    messages
}

/// The messages about leaders and unreachable back ends.
fn leader_messages(position: OptionalFreshness) -> Vec<NodeMessage> {
    let service = || Text::new("reader-core");
    vec![
        NodeMessage::QueryLeader {
            service: service(),
            asked_at_microseconds: 12,
        },
        NodeMessage::LeaderStatus {
            service: service(),
            asked_at_microseconds: 12,
            possible_term: 4,
            age_microseconds: 30,
        },
        NodeMessage::RevokeLeader {
            service: service(),
            term: 5,
        },
        NodeMessage::LeaderRevoked { newest: 4 },
        NodeMessage::PromotionEnded { service: service() },
        NodeMessage::AnnouncePromotion(promotion()),
        NodeMessage::QueryPromotions,
        NodeMessage::Promotions {
            count: 2,
            promotions: vec![promotion(), promotion()],
        },
        NodeMessage::SilentBackends {
            node: 7,
            count: 2,
            backends: vec![Text::new("i-7f3a91c2"), Text::new("i-380a579a")],
        },
        NodeMessage::ForwardMemberRequest(MemberRequestMessage {
            service: service(),
            backend: Text::new("i-7f3a91c2"),
            address: [10, 128, 0, 9],
            port: 8_080,
            request: MemberRequestMessage::STEP_DOWN,
            term: 5,
        }),
        NodeMessage::MemberReply(MemberReplyMessage {
            kind: MemberReplyMessage::STEPPED_DOWN,
            term: 4,
            received: position,
            held: 0,
        }),
    ]
}

#[test]
fn messages_round_trip_through_frames() {
    let mut bytes = BytesMut::new();
    for message in messages() {
        encode_frame(&message, &mut bytes).unwrap();
    }
    for message in messages() {
        assert_eq!(decode_frame(&mut bytes).unwrap(), Some(message));
    }
    assert_eq!(decode_frame::<NodeMessage>(&mut bytes).unwrap(), None);
}

#[test]
fn decoding_arbitrary_bytes_does_not_panic() {
    check!().for_each(|bytes: &[u8]| {
        let mut buffer = BytesMut::from(bytes);
        while let Ok(Some(_)) = decode_frame::<NodeMessage>(&mut buffer) {}
        let mut framed = BytesMut::new();
        framed.extend_from_slice(&u32::try_from(bytes.len()).unwrap().to_be_bytes());
        framed.extend_from_slice(bytes);
        let _ = decode_frame::<NodeMessage>(&mut framed);
    });
}
