//! Statements and answers between nodes: fields are counted, so they hold line endings and words of any statement
//! protocol unchanged.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stairward_engine::{
    BackendError, BackendErrorCode, ForwardedRequest, PreparedStatement, Response, ResponseResult,
    Statement, StatementKind, TransactionStatus,
};
use stairward_protocol::node_message::NodeMessage;
use stairward_protocol::{decode_frame, encode_frame};
use stairward_runtime::statement_messages::{
    decode_answer, decode_statement, encode_answer, encode_statement,
};
use stairward_testing::check;
use stairward_types::{AccessClass, Freshness, GroupId, LogPosition, Revision, TenantName, Term};

const SESSION: u64 = 9;
const REQUEST: u64 = 1 << 40;

/// Arbitrary text of which much is parts of line endings and words of a statement protocol.
fn protocol_like(bytes: &[u8]) -> String {
    let parts = [
        "\r",
        "\n",
        "\r\n",
        " ",
        "\r\nREADY I 3.1",
        "COMPLETE -",
        "QUERY 1 ",
        "\0",
        "",
    ];
    let part = |byte: &u8| match parts.get(usize::from(*byte) % 16) {
        Some(part) => (*part).to_owned(),
        None => char::from(*byte).to_string(),
    };
    bytes.iter().map(part).collect()
}

/// What another node decodes.
fn sent(message: &NodeMessage) -> NodeMessage {
    let mut bytes = BytesMut::new();
    encode_frame(message, &mut bytes).unwrap();
    let received = decode_frame(&mut bytes).unwrap().unwrap();
    assert!(bytes.is_empty());
    received
}

fn forwarded(
    kind: StatementKind,
    text: &str,
    values: BTreeMap<String, String>,
) -> ForwardedRequest {
    let prepared = matches!(kind, StatementKind::Execute { .. }).then(|| PreparedStatement {
        access: AccessClass::Write,
        shape: text.to_owned(),
    });
    ForwardedRequest {
        database: GroupId::new("reads").unwrap(),
        revision: Revision(7),
        tenant: Some(TenantName::new("miny420").unwrap()),
        in_transaction: false,
        values,
        prepared,
        commit: Some(Freshness::new(Term(3), LogPosition(1207))),
        statement: Statement {
            id: format!("5c0e{text}"),
            kind,
            text: text.to_owned(),
        },
        time_left: Duration::from_millis(300),
    }
}

/// Guards against a statement that changes between nodes.
#[test]
fn forwarded_statement_with_any_text_is_unchanged() {
    check!()
        .with_type::<(bool, Vec<u8>, Vec<(Vec<u8>, Vec<u8>)>)>()
        .for_each(|(is_prepared, text, values)| {
            let text = protocol_like(text);
            let kind = if *is_prepared {
                StatementKind::Execute {
                    name: String::new(),
                    arguments: text.clone(),
                }
            } else {
                StatementKind::Write
            };
            let values = values
                .iter()
                .map(|(name, value)| (protocol_like(name), protocol_like(value)));
            let request = forwarded(kind, &text, values.collect());
            let message = encode_statement(SESSION, REQUEST, request.clone()).unwrap();
            let NodeMessage::Forward(received) = sent(&NodeMessage::Forward(message)) else {
                panic!("not a statement");
            };
            assert_eq!((received.session, received.request), (SESSION, REQUEST));
            assert_eq!(decode_statement(&received), Some(request));
        });
}

/// Guards against an answer that changes between nodes, or that loses the number of its request.
#[test]
fn answer_with_any_rows_and_text_is_unchanged() {
    check!()
        .with_type::<(bool, Vec<Vec<u8>>, Vec<u8>)>()
        .for_each(|(is_signed, rows, text)| {
            let text = protocol_like(text);
            let result = if *is_signed {
                ResponseResult::Completed {
                    signature: Some(text),
                }
            } else {
                ResponseResult::Failed(BackendError {
                    code: BackendErrorCode::Failed,
                    text,
                })
            };
            let not_text = Bytes::from_static(b"\xff\r\n\xfe");
            let rows = rows.iter().map(|row| Bytes::from(protocol_like(row)));
            let response = Response {
                rows: rows.chain([not_text]).collect(),
                result,
                status: TransactionStatus::Open,
                position: Some(Freshness::new(Term(3), LogPosition(1209))),
            };
            let message = encode_answer(SESSION, REQUEST, response.clone());
            let NodeMessage::Answer(received) = sent(&NodeMessage::Answer(message)) else {
                panic!("not an answer");
            };
            assert_eq!((received.session, received.request), (SESSION, REQUEST));
            assert_eq!(decode_answer(received), response);
        });
}
