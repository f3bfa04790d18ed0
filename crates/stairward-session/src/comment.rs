//! Hints in SQL comments, in the sqlcommenter format: `/*key='value',key='value'*/`, with keys and
//! values percent-encoded and `'` in values written `\'`.
//! Source: <https://google.github.io/sqlcommenter/spec/>.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace};

use crate::hints::{HintError, Hints, PREFIX, is_hint_name};

/// Extracts the hints from a text's comments. Keys of other tools are ignored.
///
/// # Errors
/// [`HintError`] for a `stairward.*` key that is unknown or has an invalid value.
pub fn hints_in_comments(text: &str) -> Result<Hints, HintError> {
    let mut hints = Hints::default();
    if !may_contain_hints(text) {
        return Ok(hints);
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return Ok(hints);
    };
    for token in tokens {
        if let Token::Whitespace(Whitespace::MultiLineComment(comment)) = token {
            parse_comment(&comment, &mut hints)?;
        }
    }
    Ok(hints)
}

/// Whether a text may contain hints: a cheap check, since most texts do not.
pub(crate) fn may_contain_hints(text: &str) -> bool {
    text.contains("/*")
        && text
            .as_bytes()
            .windows(PREFIX.len())
            .any(|window| window.eq_ignore_ascii_case(PREFIX.as_bytes()))
}

fn parse_comment(comment: &str, hints: &mut Hints) -> Result<(), HintError> {
    let mut rest = comment;
    while let Some((key, after_key)) = rest.split_once('=') {
        let key = percent_decode(key.trim_start_matches(',').trim());
        let Some(quoted) = after_key.trim_start().strip_prefix('\'') else {
            return Ok(());
        };
        let Some((value, after_value)) = split_quoted(quoted) else {
            return Ok(());
        };
        if is_hint_name(&key) {
            hints.set(&key, &percent_decode(&value))?;
        }
        rest = after_value;
    }
    Ok(())
}

/// Splits at the closing quote and removes escapes.
fn split_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '\'' => return Some((value, &text[index + 1..])),
            '\\' => value.push(characters.next()?.1),
            other => value.push(other),
        }
    }
    None
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let escaped = (byte == b'%').then(|| decode_hex_byte(tail)).flatten();
        match escaped {
            Some(value) => {
                decoded.push(value);
                rest = &tail[2..];
            }
            None => {
                decoded.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn decode_hex_byte(text: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let high = digit(*text.first()?)?;
    let low = digit(*text.get(1)?)?;
    u8::try_from(high * 16 + low).ok()
}
