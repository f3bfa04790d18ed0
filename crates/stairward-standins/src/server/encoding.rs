//! Values on the wire, in text and binary format.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FORMAT_CODE_BINARY, FieldDescription, RowDescription};
use stairward_types::LogPosition;

use crate::sql::{Column, Row, SqlError, Value, ValueType};

/// The format of each result column, from a list of none, one for all, or one each.
#[must_use]
pub fn format_of(formats: &[i16], place: usize) -> i16 {
    match formats {
        [] => 0,
        [only] => *only,
        several => several.get(place).copied().unwrap_or(0),
    }
}

/// Describes result columns.
#[must_use]
pub fn row_description(columns: &[Column], formats: &[i16]) -> RowDescription {
    let fields = columns.iter().enumerate().map(|(place, column)| {
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            column.value_type.oid(),
            column.value_type.size(),
            -1,
            format_of(formats, place),
        )
    });
    RowDescription::new(fields.collect())
}

/// Encodes a row.
///
/// # Errors
/// [`SqlError::LimitExceeded`] for a value or a row too large for a message,
/// [`SqlError::DatatypeMismatch`] when a value is not of its column's type.
pub fn data_row(columns: &[Column], row: &Row, formats: &[i16]) -> Result<DataRow, SqlError> {
    let mut data = BytesMut::new();
    for (place, value) in row.iter().enumerate() {
        let value_type = columns
            .get(place)
            .map_or(ValueType::Text, |column| column.value_type);
        let binary = format_of(formats, place) == FORMAT_CODE_BINARY;
        put_value(&mut data, value, value_type, binary)?;
    }
    let count = i16::try_from(row.len()).map_err(|_| SqlError::LimitExceeded { what: "row" })?;
    Ok(DataRow::new(data, count))
}

fn put_value(
    data: &mut BytesMut,
    value: &Value,
    value_type: ValueType,
    binary: bool,
) -> Result<(), SqlError> {
    if value.is_null() {
        data.put_i32(-1);
        return Ok(());
    }
    if !binary {
        return put_bytes(data, value.to_string().as_bytes());
    }
    match (value_type, value.convert(value_type)?) {
        (ValueType::Boolean, Value::Boolean(truth)) => put_bytes(data, &[u8::from(truth)]),
        (ValueType::Int4, Value::Integer(number)) => {
            let number = i32::try_from(number).map_err(|_| SqlError::OutOfRange)?;
            put_bytes(data, &number.to_be_bytes())
        }
        (ValueType::Int8, Value::Integer(number)) => put_bytes(data, &number.to_be_bytes()),
        (ValueType::LogPosition, Value::Text(text)) => {
            let position: LogPosition = text.parse().map_err(|_| SqlError::InvalidText {
                text: text.to_string(),
                wanted: value_type,
            })?;
            put_bytes(data, &position.0.to_be_bytes())
        }
        (_, value) => put_bytes(data, value.to_string().as_bytes()),
    }
}

fn put_bytes(data: &mut BytesMut, bytes: &[u8]) -> Result<(), SqlError> {
    let length = i32::try_from(bytes.len());
    data.put_i32(length.map_err(|_| SqlError::LimitExceeded { what: "value" })?);
    data.put_slice(bytes);
    Ok(())
}

/// Decodes a parameter.
///
/// # Errors
/// [`SqlError::InvalidBinary`], [`SqlError::InvalidEncoding`] or [`SqlError::InvalidText`].
pub fn parameter(
    bytes: Option<&Bytes>,
    value_type: ValueType,
    binary: bool,
) -> Result<Value, SqlError> {
    let Some(bytes) = bytes else {
        return Ok(Value::Null);
    };
    if binary && value_type != ValueType::Text {
        return binary_parameter(bytes, value_type);
    }
    let text = std::str::from_utf8(bytes).map_err(|_| SqlError::InvalidEncoding)?;
    Value::parse(text, value_type)
}

fn binary_parameter(bytes: &[u8], value_type: ValueType) -> Result<Value, SqlError> {
    let integer = match *bytes {
        [a] => i64::from(i8::from_be_bytes([a])),
        [a, b] => i64::from(i16::from_be_bytes([a, b])),
        [a, b, c, d] => i64::from(i32::from_be_bytes([a, b, c, d])),
        [a, b, c, d, e, f, g, h] => i64::from_be_bytes([a, b, c, d, e, f, g, h]),
        _ => return Err(SqlError::InvalidBinary),
    };
    match (value_type, bytes.len()) {
        (ValueType::Boolean, 1) => Ok(Value::Boolean(integer != 0)),
        (ValueType::Int4, 2 | 4) | (ValueType::Int8, 8) => Ok(Value::Integer(integer)),
        (ValueType::LogPosition, 8) => {
            let position = LogPosition(integer.cast_unsigned());
            Ok(Value::text(position.to_string()))
        }
        _ => Err(SqlError::InvalidBinary),
    }
}
