//! Messages that the edge itself sends to clients, encoded with pgwire.

use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, NoticeResponse, ReadyForQuery,
    TransactionStatus,
};
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};
use stairward_types::ResultCode;

use super::error::EdgeError;

/// Severity of an error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Severity {
    /// The session continues.
    Error,
    /// The connection is closed after the message.
    Fatal,
}

/// OID of the PostgreSQL type `text`.
const TEXT_TYPE: u32 = 25;
/// Type size of variable-length types.
const VARIABLE_SIZE: i16 = -1;

fn encode(output: &mut BytesMut, message: &PgWireBackendMessage) {
    let start = output.len();
    // Encoding fails only for messages far larger than any sent here.
    if message.encode(output).is_err() {
        output.truncate(start);
    }
}

fn error_fields(severity: &str, error: &EdgeError) -> Vec<(u8, String)> {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.sqlstate().to_owned()),
        (b'M', error.message()),
        (b'D', error.detail()),
    ];
    if let Some(hint) = error.hint() {
        fields.push((b'H', hint));
    }
    fields
}

pub(super) fn error_response(output: &mut BytesMut, severity: Severity, error: &EdgeError) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let response = ErrorResponse::new(error_fields(severity, error));
    encode(output, &PgWireBackendMessage::ErrorResponse(response));
}

/// Reports a result code of the class *answered* other than plain success.
pub(super) fn notice_response(output: &mut BytesMut, code: ResultCode) {
    let response = NoticeResponse::new(error_fields("NOTICE", &EdgeError::new(code)));
    encode(output, &PgWireBackendMessage::NoticeResponse(response));
}

pub(super) fn ready_for_query(output: &mut BytesMut, status: TransactionStatus) {
    let message = ReadyForQuery::new(status);
    encode(output, &PgWireBackendMessage::ReadyForQuery(message));
}

pub(super) fn parameter_status(output: &mut BytesMut, name: &str, value: &str) {
    let message = ParameterStatus::new(name.to_owned(), value.to_owned());
    encode(output, &PgWireBackendMessage::ParameterStatus(message));
}

pub(super) fn authentication(output: &mut BytesMut, message: Authentication) {
    encode(output, &PgWireBackendMessage::Authentication(message));
}

pub(super) fn backend_key_data(output: &mut BytesMut, process: i32, secret: i32) {
    let message = BackendKeyData::new(process, SecretKey::I32(secret));
    encode(output, &PgWireBackendMessage::BackendKeyData(message));
}

/// Offers protocol 3.0 and lists the unsupported protocol options.
pub(super) fn negotiate_protocol_version(output: &mut BytesMut, unknown_options: Vec<String>) {
    let message = NegotiateProtocolVersion::new(0, unknown_options);
    encode(
        output,
        &PgWireBackendMessage::NegotiateProtocolVersion(message),
    );
}

pub(super) fn command_complete(output: &mut BytesMut, tag: &str) {
    let message = CommandComplete::new(tag.to_owned());
    encode(output, &PgWireBackendMessage::CommandComplete(message));
}

pub(super) fn empty_query_response(output: &mut BytesMut) {
    let message = EmptyQueryResponse::new();
    encode(output, &PgWireBackendMessage::EmptyQueryResponse(message));
}

pub(super) fn parse_complete(output: &mut BytesMut) {
    encode(
        output,
        &PgWireBackendMessage::ParseComplete(ParseComplete::new()),
    );
}

pub(super) fn bind_complete(output: &mut BytesMut) {
    encode(
        output,
        &PgWireBackendMessage::BindComplete(BindComplete::new()),
    );
}

pub(super) fn close_complete(output: &mut BytesMut) {
    encode(
        output,
        &PgWireBackendMessage::CloseComplete(CloseComplete::new()),
    );
}

pub(super) fn no_data(output: &mut BytesMut) {
    let message = pgwire::messages::data::NoData::new();
    encode(output, &PgWireBackendMessage::NoData(message));
}

/// A result of one row with one text column, as returned by `SHOW`.
pub(super) fn text_row(output: &mut BytesMut, column: &str, value: &str) {
    let field = FieldDescription::new(column.to_owned(), 0, 0, TEXT_TYPE, VARIABLE_SIZE, -1, 0);
    let description = RowDescription::new(vec![field]);
    encode(output, &PgWireBackendMessage::RowDescription(description));
    let mut data = BytesMut::new();
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value.as_bytes());
    encode(
        output,
        &PgWireBackendMessage::DataRow(DataRow::new(data, 1)),
    );
}

/// Describes a statement that has no parameters.
pub(super) fn empty_parameter_description(output: &mut BytesMut) {
    let message = pgwire::messages::data::ParameterDescription::new(Vec::new());
    encode(output, &PgWireBackendMessage::ParameterDescription(message));
}
