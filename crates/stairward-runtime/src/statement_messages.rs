//! Conversion of forwarded statements and their responses between engine types and peer messages.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use stairward_engine::{
    BackendError, BackendErrorCode, ForwardedRequest, PreparedStatement, Response, ResponseResult,
    Statement, StatementKind, TransactionStatus,
};
use stairward_protocol::node_message::{
    ForwardedAnswer, ForwardedStatement, SessionValue, StatementTag,
};
use stairward_protocol::{ByteString, OptionalFreshness};
use stairward_types::{AccessClass, Freshness, GroupId, ResultCode, Revision, TenantName};

/// Codes of a response's result on the wire.
const COMPLETED: u8 = 0;
const SIGNED: u8 = 1;
const REFUSED: u8 = 2;
const FAILED: u8 = 3;

/// Back end errors, indexed by their code on the wire.
const ERROR_CODES: [BackendErrorCode; 11] = [
    BackendErrorCode::InDoubt,
    BackendErrorCode::Busy,
    BackendErrorCode::UnknownPreparedStatement,
    BackendErrorCode::NotFresh,
    BackendErrorCode::ReadOnly,
    BackendErrorCode::Malformed,
    BackendErrorCode::WrongBackend,
    BackendErrorCode::ConnectionLimit,
    BackendErrorCode::Aborted,
    BackendErrorCode::Failed,
    BackendErrorCode::TimedOut,
];

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn text(bytes: &ByteString) -> Option<String> {
    String::from_utf8(bytes.bytes.clone()).ok()
}

fn tag(kind: &StatementKind) -> Option<StatementTag> {
    Some(match kind {
        StatementKind::Begin { read_only: false } => StatementTag::Begin,
        StatementKind::Begin { read_only: true } => StatementTag::BeginRead,
        StatementKind::Commit => StatementTag::Commit,
        StatementKind::Rollback => StatementTag::Rollback,
        StatementKind::Read => StatementTag::Read,
        StatementKind::Write => StatementTag::Write,
        StatementKind::Execute { .. } => StatementTag::Execute,
        StatementKind::SetValue { .. }
        | StatementKind::Prepare { .. }
        | StatementKind::Deallocate { .. } => return None,
    })
}

/// Converts a forwarded statement to a message; none for a kind that is never forwarded.
#[must_use]
pub fn encode_statement(
    session: u64,
    request: u64,
    forwarded: ForwardedRequest,
) -> Option<ForwardedStatement> {
    let tag = tag(&forwarded.statement.kind)?;
    let body = match forwarded.statement.kind {
        StatementKind::Execute { arguments, .. } => arguments,
        _ => forwarded.statement.text,
    };
    let (access, shape) = match forwarded.prepared {
        None => (0, String::new()),
        Some(prepared) => match prepared.access {
            AccessClass::Read => (1, prepared.shape),
            AccessClass::Write => (2, prepared.shape),
        },
    };
    let values = forwarded
        .values
        .into_iter()
        .map(|(name, value)| SessionValue {
            name: ByteString::new(name.into_bytes()),
            value: ByteString::new(value.into_bytes()),
        });
    let message = ForwardedStatement::new(
        session,
        request,
        forwarded.database.as_str(),
        forwarded.revision.0,
        forwarded.tenant.as_ref().map_or("", TenantName::as_str),
        forwarded.in_transaction,
        milliseconds(forwarded.time_left),
        OptionalFreshness::from(forwarded.commit),
        access,
        shape.into_bytes(),
        tag,
        forwarded.statement.id.into_bytes(),
        body.into_bytes(),
    );
    Some(message.with_values(values.collect()))
}

/// Converts a message to a forwarded statement; none if it is malformed.
#[must_use]
pub fn decode_statement(message: &ForwardedStatement) -> Option<ForwardedRequest> {
    let mut values = BTreeMap::new();
    for value in &message.values {
        values.insert(text(&value.name)?, text(&value.value)?);
    }
    let access = match message.prepared_access {
        1 => Some(AccessClass::Read),
        2 => Some(AccessClass::Write),
        _ => None,
    };
    let shape = text(&message.prepared_shape)?;
    let body = text(&message.text)?;
    let kind = match StatementTag::from_number(message.tag)? {
        StatementTag::Begin => StatementKind::Begin { read_only: false },
        StatementTag::BeginRead => StatementKind::Begin { read_only: true },
        StatementTag::Commit => StatementKind::Commit,
        StatementTag::Rollback => StatementKind::Rollback,
        StatementTag::Read => StatementKind::Read,
        StatementTag::Write => StatementKind::Write,
        StatementTag::Execute => StatementKind::Execute {
            name: String::new(),
            arguments: body.clone(),
        },
    };
    let tenant = match message.tenant.as_str() {
        "" => None,
        name => Some(TenantName::new(name).ok()?),
    };
    Some(ForwardedRequest {
        database: GroupId::new(message.database.as_str()).ok()?,
        revision: Revision(message.revision),
        tenant,
        in_transaction: message.in_transaction != 0,
        values,
        prepared: access.map(|access| PreparedStatement { access, shape }),
        commit: Option::<Freshness>::from(message.commit),
        statement: Statement {
            id: text(&message.id)?,
            kind,
            text: body,
        },
        time_left: Duration::from_millis(u64::from(message.time_left_milliseconds)),
    })
}

/// Converts a response to a message.
#[must_use]
pub fn encode_answer(session: u64, request: u64, response: Response) -> ForwardedAnswer {
    let (outcome, code, retry_after, body) = match response.result {
        ResponseResult::Completed { signature: None } => (COMPLETED, 0, 0, String::new()),
        ResponseResult::Completed {
            signature: Some(signature),
        } => (SIGNED, 0, 0, signature),
        ResponseResult::Refused { code, retry_after } => {
            let retry_after = retry_after.map_or(0, milliseconds);
            (REFUSED, code.number(), retry_after, String::new())
        }
        ResponseResult::Failed(error) => (FAILED, error_number(error.code), 0, error.text),
    };
    let status = match response.status {
        TransactionStatus::Idle => 0,
        TransactionStatus::Open => 1,
        TransactionStatus::Failed => 2,
    };
    let rows: Vec<_> = response
        .rows
        .into_iter()
        .map(|row| ByteString::new(row.to_vec()))
        .collect();
    ForwardedAnswer {
        session,
        request,
        outcome,
        code,
        retry_after_milliseconds: retry_after,
        text: ByteString::new(body.into_bytes()),
        status,
        position: OptionalFreshness::from(response.position),
        row_count: u32::try_from(rows.len()).unwrap_or(u32::MAX),
        rows,
    }
}

fn error_number(code: BackendErrorCode) -> u16 {
    let place = ERROR_CODES.iter().position(|known| *known == code);
    place
        .and_then(|place| u16::try_from(place).ok())
        .unwrap_or(0)
}

/// Converts a message to a response. Unknown codes become failures whose outcome is unknown.
#[must_use]
pub fn decode_answer(message: ForwardedAnswer) -> Response {
    let body = text(&message.text).unwrap_or_default();
    let result = match message.outcome {
        COMPLETED => ResponseResult::Completed { signature: None },
        SIGNED => ResponseResult::Completed {
            signature: Some(body),
        },
        REFUSED => ResponseResult::Refused {
            code: ResultCode::from_number(message.code).unwrap_or(ResultCode::OwnerLostAfterSend),
            retry_after: Some(Duration::from_millis(u64::from(
                message.retry_after_milliseconds,
            )))
            .filter(|pause| !pause.is_zero()),
        },
        _ => ResponseResult::Failed(BackendError {
            code: ERROR_CODES
                .get(usize::from(message.code))
                .copied()
                .unwrap_or(BackendErrorCode::InDoubt),
            text: body,
        }),
    };
    let status = match message.status {
        0 => TransactionStatus::Idle,
        1 => TransactionStatus::Open,
        _ => TransactionStatus::Failed,
    };
    let rows = message.rows.into_iter().map(|row| Bytes::from(row.bytes));
    Response {
        rows: rows.collect(),
        result,
        status,
        position: Option::<Freshness>::from(message.position),
    }
}
