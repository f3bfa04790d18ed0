//! What both kinds of TOML file share: lines of spans, and the parser's errors as problems.

use std::ops::Range;

use stairward_types::ResultCode;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{ProblemKind, SettingsProblem};
use crate::value::Value;

/// Largest file accepted, in bytes.
pub(crate) const MAXIMUM_FILE_BYTES: usize = 16 << 20;

/// Where each line of a text starts.
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

    /// The line, counted from 1, in which a span starts.
    pub(crate) fn line(&self, span: &Range<usize>) -> usize {
        self.starts.partition_point(|start| *start <= span.start)
    }
}

/// Parses a text, or says at which line it is not TOML.
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

/// A TOML value as an option's value.
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

/// Least likeness, by Jaro and Winkler's measure, of a name that is suggested for a misspelt one.
const LEAST_LIKENESS: f64 = 0.8;

/// The known name most like a misspelt one, if any is much like it.
pub(crate) fn nearest_name<'name>(
    wrong: &str,
    known: impl Iterator<Item = &'name str>,
) -> Option<String> {
    known
        .map(|name| (strsim::jaro_winkler(wrong, name), name))
        .filter(|(likeness, _)| *likeness >= LEAST_LIKENESS)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, name)| name.to_owned())
}
