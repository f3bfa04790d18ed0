//! Reads individual options of a process file according to the schema, and collects problems.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use stairward_types::ResultCode;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::schema::{PROCESS_OPTIONS, ProcessDefault, ProcessOption, ProcessValueKind};
use super::{SecretSource, TlsFiles};
use crate::problem::{ProblemKind, SettingsProblem};
use crate::toml_text::{self, LineIndex};
use crate::value::Value;

/// Maximum number of addresses in one list.
const MAXIMUM_ADDRESSES: usize = 256;

pub(super) fn problem(
    table: &str,
    option: Option<&str>,
    line: Option<usize>,
    kind: ProblemKind,
) -> SettingsProblem {
    SettingsProblem {
        path: table.to_owned(),
        option: option.map(str::to_owned),
        line,
        code: ResultCode::InvalidProcessFile,
        kind: Box::new(kind),
    }
}

fn is_known_table(name: &str) -> bool {
    PROCESS_OPTIONS.iter().any(|option| option.table == name)
}

fn option_schema(table: &str, name: &str) -> Option<&'static ProcessOption> {
    PROCESS_OPTIONS
        .iter()
        .find(|option| option.table == table && option.name == name)
}

pub(super) struct Reader<'file> {
    pub(super) lines: &'file LineIndex,
    pub(super) document: &'file DeTable<'file>,
    pub(super) directory: &'file Path,
    pub(super) problems: Vec<SettingsProblem>,
}

impl<'file> Reader<'file> {
    /// Reports names that the schema does not define, in this table and its subtables. The document
    /// itself has the empty table name.
    pub(super) fn check_names(&mut self, table: &str, content: &DeTable<'_>) {
        for (key, value) in content {
            let name = key.get_ref().as_ref();
            let line = Some(self.lines.line(&key.span()));
            let inner = if table.is_empty() {
                name.to_owned()
            } else {
                format!("{table}.{name}")
            };
            match value.get_ref().as_table() {
                Some(content) if is_known_table(&inner) => self.check_names(&inner, content),
                None if is_known_table(&inner) => {
                    let kind = ProblemKind::WrongType {
                        expected: "a table",
                        found: value.get_ref().type_str(),
                    };
                    self.problems.push(problem(&inner, None, line, kind));
                }
                _ if option_schema(table, name).is_some() => {}
                _ => self.add_unknown_name(table, name, line),
            }
        }
    }

    fn add_unknown_name(&mut self, table: &str, name: &str, line: Option<usize>) {
        let suggestion = if table.is_empty() {
            toml_text::closest_name(name, PROCESS_OPTIONS.iter().map(|option| option.table))
        } else {
            let known = PROCESS_OPTIONS
                .iter()
                .filter(|option| option.table == table);
            toml_text::closest_name(name, known.map(|option| option.name))
        };
        let path = if table.is_empty() { "file" } else { table };
        let kind = ProblemKind::UnknownName { suggestion };
        self.problems.push(problem(path, Some(name), line, kind));
    }

    pub(super) fn tls(&mut self, table: &'static str) -> Option<TlsFiles> {
        let certificate_file = self.file(table, "certificate_file");
        let key_file = self.file(table, "key_file");
        Some(TlsFiles {
            certificate_file: certificate_file?,
            key_file: key_file?,
        })
    }

    pub(super) fn secret(
        &mut self,
        table: &'static str,
        name: &'static str,
    ) -> Option<SecretSource> {
        self.file(table, name).map(SecretSource::File)
    }

    fn table(&self, table: &str) -> Option<&'file DeTable<'file>> {
        let mut content = self.document;
        for part in table.split('.') {
            content = content.get(part)?.get_ref().as_table()?;
        }
        Some(content)
    }

    /// The value of an option in the file. Reports a problem when a required option is missing.
    fn value(&mut self, table: &str, name: &str) -> Option<&'file Spanned<DeValue<'file>>> {
        let content = self.table(table);
        let value = content.and_then(|content| content.get(name));
        let is_missing = match option_schema(table, name)?.default {
            ProcessDefault::Required => value.is_none(),
            ProcessDefault::RequiredInTable => value.is_none() && content.is_some(),
            _ => false,
        };
        if is_missing {
            self.add_problem(table, name, ProblemKind::Missing);
        }
        value
    }

    /// Adds a problem with the line of the option if it is in the file, otherwise the line of its table.
    pub(super) fn add_problem(&mut self, table: &str, name: &str, kind: ProblemKind) {
        let line = self.line_of(table, name);
        self.problems.push(problem(table, Some(name), line, kind));
    }

    fn line_of(&self, table: &str, name: &str) -> Option<usize> {
        let option = self
            .table(table)
            .and_then(|content| content.get_key_value(name));
        if let Some((key, _)) = option {
            return Some(self.lines.line(&key.span()));
        }
        let first_part = table.split('.').next()?;
        let (key, _) = self.document.get_key_value(first_part)?;
        Some(self.lines.line(&key.span()))
    }

    /// Converts the option's value with `read`. Reports a problem when that fails.
    fn read_value<T>(
        &mut self,
        table: &str,
        name: &str,
        read: impl FnOnce(&DeValue<'_>) -> Result<T, ProblemKind>,
    ) -> Option<T> {
        let value = self.value(table, name)?;
        match read(value.get_ref()) {
            Ok(result) => Some(result),
            Err(kind) => {
                self.add_problem(table, name, kind);
                None
            }
        }
    }

    /// The integer in the file, or the default of the schema.
    pub(super) fn integer(&mut self, table: &'static str, name: &'static str) -> Option<u64> {
        let schema = option_schema(table, name)?;
        if let Some(number) = self.read_value(table, name, |value| read_integer(schema, value)) {
            return Some(number);
        }
        match schema.default {
            ProcessDefault::Integer(number) => Some(number),
            _ => None,
        }
    }

    /// The word in the file, or the default of the schema.
    pub(super) fn word(&mut self, table: &'static str, name: &'static str) -> Option<&'static str> {
        let schema = option_schema(table, name)?;
        if let Some(word) = self.read_value(table, name, |value| read_word(schema, value)) {
            return Some(word);
        }
        match schema.default {
            ProcessDefault::Word(word) => Some(word),
            _ => None,
        }
    }

    pub(super) fn name<T: FromStr<Err = stairward_types::InvalidName>>(
        &mut self,
        table: &'static str,
        name: &'static str,
    ) -> Option<T> {
        self.read_value(table, name, |value| {
            let text = read_text(value)?;
            text.parse()
                .map_err(|source| ProblemKind::InvalidName { source })
        })
    }

    pub(super) fn address(
        &mut self,
        table: &'static str,
        name: &'static str,
    ) -> Option<SocketAddr> {
        self.read_value(table, name, read_address)
    }

    pub(super) fn addresses(
        &mut self,
        table: &'static str,
        name: &'static str,
    ) -> Option<Vec<SocketAddr>> {
        let schema = option_schema(table, name)?;
        self.read_value(table, name, |value| read_addresses(schema, value))
    }

    pub(super) fn file(&mut self, table: &'static str, name: &'static str) -> Option<PathBuf> {
        let directory = self.directory;
        self.read_value(table, name, |value| {
            let text = read_text(value)?;
            if text.is_empty() {
                return Err(ProblemKind::Missing);
            }
            Ok(directory.join(text))
        })
    }
}

fn read_text<'value>(value: &'value DeValue<'_>) -> Result<&'value str, ProblemKind> {
    value.as_str().ok_or_else(|| ProblemKind::WrongType {
        expected: "text",
        found: value.type_str(),
    })
}

fn read_integer(schema: &ProcessOption, value: &DeValue<'_>) -> Result<u64, ProblemKind> {
    let number = match toml_text::option_value(value)? {
        Value::Integer(number) => number,
        Value::Text(_) => {
            return Err(ProblemKind::WrongType {
                expected: "an integer",
                found: "text",
            });
        }
    };
    match schema.kind {
        ProcessValueKind::Integer { minimum, maximum }
            if !(minimum..=maximum).contains(&number) =>
        {
            Err(ProblemKind::OutOfRange {
                value: number,
                minimum,
                maximum,
            })
        }
        _ => Ok(number),
    }
}

fn read_word(schema: &ProcessOption, value: &DeValue<'_>) -> Result<&'static str, ProblemKind> {
    let text = read_text(value)?;
    let choices = match schema.kind {
        ProcessValueKind::Choice(choices) => choices,
        _ => &[],
    };
    choices
        .iter()
        .copied()
        .find(|choice| *choice == text)
        .ok_or_else(|| ProblemKind::NotAChoice {
            value: text.to_owned(),
            choices,
        })
}

fn read_address(value: &DeValue<'_>) -> Result<SocketAddr, ProblemKind> {
    let text = read_text(value)?;
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
        .ok_or_else(|| ProblemKind::InvalidAddress {
            value: text.to_owned(),
        })
}

fn read_addresses(
    schema: &ProcessOption,
    value: &DeValue<'_>,
) -> Result<Vec<SocketAddr>, ProblemKind> {
    let Some(list) = value.as_array() else {
        return Err(ProblemKind::WrongType {
            expected: "a list of addresses",
            found: value.type_str(),
        });
    };
    if list.len() > MAXIMUM_ADDRESSES {
        return Err(ProblemKind::TooMany {
            count: list.len(),
            maximum: MAXIMUM_ADDRESSES,
        });
    }
    if list.is_empty() && schema.default == ProcessDefault::Required {
        return Err(ProblemKind::Missing);
    }
    list.iter()
        .map(|element| read_address(element.get_ref()))
        .collect()
}
