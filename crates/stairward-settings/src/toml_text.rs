//! TOML parsing shared by process files and settings trees: line numbers of spans, and syntax errors
//! as [`SettingsProblem`]s.

use std::ops::Range;

use stairward_types::ResultCode;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{ProblemKind, SettingsProblem};
use crate::value::Value;

/// Largest file accepted, in bytes.
pub(crate) const MAXIMUM_FILE_BYTES: usize = 16 << 20;

/// Byte offsets of the line starts of a text, for mapping spans to line numbers.
pub(crate) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    pub(crate) fn new(text: &str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            starts: std::iter::once(0).chain(after_newlines).collect(),
        }
    }

    /// The line number, counted from 1, at which a span starts.
    pub(crate) fn line(&self, span: &Range<usize>) -> usize {
        self.starts.partition_point(|start| *start <= span.start)
    }
}

/// Parses TOML; a syntax error becomes a problem with its line and the given code.
pub(crate) fn parse<'text>(
    text: &'text str,
    lines: &LineIndex,
    code: ResultCode,
) -> Result<DeTable<'text>, SettingsProblem> {
    let syntax_problem = |message: &str, span: Option<Range<usize>>| SettingsProblem {
        path: "file".to_owned(),
        option: None,
        line: span.map(|span| lines.line(&span)),
        code,
        kind: Box::new(ProblemKind::Syntax {
            message: message.to_owned(),
        }),
    };
    if text.len() > MAXIMUM_FILE_BYTES {
        return Err(syntax_problem("the file is larger than 16 MiB", None));
    }
    DeTable::parse(text)
        .map(Spanned::into_inner)
        .map_err(|error| syntax_problem(error.message(), error.span()))
}

/// Converts a TOML value to an option's value.
pub(crate) fn option_value(value: &DeValue<'_>) -> Result<Value, ProblemKind> {
    if let Some(number) = value.as_integer() {
        let digits = number.as_str().replace('_', "");
        return u64::from_str_radix(&digits, number.radix())
            .map(Value::Integer)
            .map_err(|_| ProblemKind::WrongType {
                expected: "an integer from 0",
                found: "another integer",
            });
    }
    if let Some(text) = value.as_str() {
        return Ok(Value::from(text));
    }
    Err(ProblemKind::WrongType {
        expected: "an integer or text",
        found: value.type_str(),
    })
}

/// Minimum Jaro-Winkler similarity at which a known name is suggested for an unknown one.
const MINIMUM_SIMILARITY: f64 = 0.8;

/// The known name most similar to an unknown one, if any reaches [`MINIMUM_SIMILARITY`].
pub(crate) fn closest_name<'name>(
    unknown: &str,
    known: impl Iterator<Item = &'name str>,
) -> Option<String> {
    known
        .map(|name| (strsim::jaro_winkler(unknown, name), name))
        .filter(|(similarity, _)| *similarity >= MINIMUM_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, name)| name.to_owned())
}
