//! A process file from TOML, with the line of everything that is wrong.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use stairward_types::{NodeId, ResultCode};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::schema::{PROCESS_OPTIONS, ProcessDefault, ProcessOption, ProcessValueKind};
use super::{
    AdminSettings, BackendAccessSettings, CallerSettings, ClusterSettings, DrainSettings,
    ListenSettings, LogFormat, LogSettings, NodeSettings, PlatformSettings, ProcessSettings,
    SecretSource, TlsFiles, UsersSource,
};
use crate::problem::{ProblemKind, SettingsProblem};
use crate::toml_text::{self, LineIndex};
use crate::value::Value;

/// Most addresses in one list.
const MAXIMUM_ADDRESSES: usize = 256;

impl ProcessSettings {
    /// Reads a process file.
    ///
    /// # Errors
    /// Every problem found, each with its line where it has one.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsProblem>> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let kind = ProblemKind::Unreadable {
                reason: error.to_string(),
            };
            vec![problem(&path.display().to_string(), None, None, kind)]
        })?;
        let directory = path.parent().unwrap_or(Path::new(""));
        Self::from_toml(&text, directory)
    }

    /// Reads a process file's text. Files named in it by a relative path are meant to lie in
    /// `directory`; they are not opened.
    ///
    /// # Errors
    /// Every problem found, each with its line where it has one.
    pub fn from_toml(text: &str, directory: &Path) -> Result<Self, Vec<SettingsProblem>> {
        let lines = LineIndex::new(text);
        let document = toml_text::parse(text, &lines, ResultCode::InvalidProcessFile)
            .map_err(|problem| vec![problem])?;
        let mut reader = Reader {
            lines: &lines,
            document: &document,
            directory,
            problems: Vec::new(),
        };
        reader.check_names("", &document);
        let settings = reader.read();
        let mut problems = reader.problems;
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => {
                problems.sort_by_key(|problem| problem.line);
                Err(problems)
            }
        }
    }
}

fn problem(
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

fn is_table(name: &str) -> bool {
    PROCESS_OPTIONS.iter().any(|option| option.table == name)
}

fn option_schema(table: &str, name: &str) -> Option<&'static ProcessOption> {
    PROCESS_OPTIONS
        .iter()
        .find(|option| option.table == table && option.name == name)
}

struct Reader<'file> {
    lines: &'file LineIndex,
    document: &'file DeTable<'file>,
    directory: &'file Path,
    problems: Vec<SettingsProblem>,
}

impl<'file> Reader<'file> {
    /// Finds names that the schema does not know, in this table and those below.
    fn check_names(&mut self, table: &str, content: &DeTable<'_>) {
        for (key, value) in content {
            let name = key.get_ref().as_ref();
            let line = Some(self.lines.line(&key.span()));
            let inner = if table.is_empty() {
                name.to_owned()
            } else {
                format!("{table}.{name}")
            };
            match value.get_ref().as_table() {
                Some(content) if is_table(&inner) => self.check_names(&inner, content),
                None if is_table(&inner) => {
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
            toml_text::nearest_name(name, PROCESS_OPTIONS.iter().map(|option| option.table))
        } else {
            let known = PROCESS_OPTIONS
                .iter()
                .filter(|option| option.table == table);
            toml_text::nearest_name(name, known.map(|option| option.name))
        };
        let path = if table.is_empty() { "file" } else { table };
        let kind = ProblemKind::UnknownName { suggestion };
        self.problems.push(problem(path, Some(name), line, kind));
    }

    fn read(&mut self) -> Option<ProcessSettings> {
        let node = self.read_node();
        let listen = self.read_listen();
        let platform = self.addresses("platform", "addresses");
        let seeds = self.addresses("cluster", "seeds");
        let cluster_key = self.secret("cluster", "key_file");
        let callers = self.read_callers();
        let password = self.secret("backends", "password_file");
        let root_certificate_file = self.file("backends.tls", "root_certificate_file");
        let admin = self.read_admin(listen);
        let log = self.read_log();
        let drain_timeout = self.integer("drain", "timeout_ms");
        Some(ProcessSettings {
            node: node?,
            listen: listen?,
            platform: PlatformSettings {
                addresses: platform?,
            },
            cluster: ClusterSettings {
                seeds: seeds.unwrap_or_default(),
                key: cluster_key?,
            },
            callers: callers?,
            backends: BackendAccessSettings {
                password: password?,
                root_certificate_file,
            },
            admin,
            log: log?,
            drain: DrainSettings {
                timeout: Duration::from_millis(drain_timeout?),
            },
        })
    }

    fn read_node(&mut self) -> Option<NodeSettings> {
        let id = self.integer("node", "id").map(NodeId);
        let region = self.name("node", "region");
        let zone = self.name("node", "zone");
        Some(NodeSettings {
            id,
            region: region?,
            zone: zone?,
        })
    }

    fn read_listen(&mut self) -> Option<ListenSettings> {
        let client = self.address("listen", "client");
        let peer = self.address("listen", "peer");
        let admin = self.address("listen", "admin");
        let listen = ListenSettings {
            client: client?,
            peer: peer?,
            admin: admin?,
        };
        self.check_distinct("peer", listen.peer, "client", listen.client);
        self.check_distinct("admin", listen.admin, "client", listen.client);
        self.check_distinct("admin", listen.admin, "peer", listen.peer);
        Some(listen)
    }

    fn check_distinct(
        &mut self,
        name: &'static str,
        address: SocketAddr,
        other: &str,
        other_address: SocketAddr,
    ) {
        if address == other_address {
            let kind = ProblemKind::DuplicateAddress {
                address,
                other: format!("listen {other}"),
            };
            self.add_problem("listen", name, kind);
        }
    }

    fn read_callers(&mut self) -> Option<CallerSettings> {
        let users_file = self.file("callers", "users_file");
        let maximum_clients = self.integer("callers", "maximum_clients");
        let token_key = self.secret("callers", "token_key_file");
        let tls = self.tls("callers.tls");
        Some(CallerSettings {
            users: UsersSource::File(users_file?),
            tls,
            maximum_clients: u32::try_from(maximum_clients?).unwrap_or(u32::MAX),
            token_key,
        })
    }

    /// The admin interface must be loopback, or protected by a token and TLS.
    fn read_admin(&mut self, listen: Option<ListenSettings>) -> AdminSettings {
        let token = self.secret("admin", "token_file");
        let tls = self.tls("admin.tls");
        let is_loopback = listen.is_none_or(|listen| listen.admin.ip().is_loopback());
        if !is_loopback && (token.is_none() || tls.is_none()) {
            self.add_problem("listen", "admin", ProblemKind::UnprotectedAdmin);
        }
        AdminSettings { token, tls }
    }

    fn read_log(&mut self) -> Option<LogSettings> {
        let level = self.word("log", "level");
        let format = self.word("log", "format");
        Some(LogSettings {
            level: level?,
            format: match format? {
                "json" => LogFormat::Json,
                _ => LogFormat::Text,
            },
        })
    }

    fn tls(&mut self, table: &'static str) -> Option<TlsFiles> {
        let certificate_file = self.file(table, "certificate_file");
        let key_file = self.file(table, "key_file");
        Some(TlsFiles {
            certificate_file: certificate_file?,
            key_file: key_file?,
        })
    }

    fn secret(&mut self, table: &'static str, name: &'static str) -> Option<SecretSource> {
        self.file(table, name).map(SecretSource::File)
    }

    fn table(&self, table: &str) -> Option<&'file DeTable<'file>> {
        let mut content = self.document;
        for part in table.split('.') {
            content = content.get(part)?.get_ref().as_table()?;
        }
        Some(content)
    }

    /// The value in the file; a required one that is missing becomes a problem.
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

    /// Adds a problem with the line of the option, if it is there, or else of its table.
    fn add_problem(&mut self, table: &str, name: &str, kind: ProblemKind) {
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

    /// The option's value read by `read`, whose failure becomes a problem.
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

    /// The number in the file, or the default when there is none.
    fn integer(&mut self, table: &'static str, name: &'static str) -> Option<u64> {
        let schema = option_schema(table, name)?;
        if let Some(number) = self.read_value(table, name, |value| read_integer(schema, value)) {
            return Some(number);
        }
        match schema.default {
            ProcessDefault::Integer(number) => Some(number),
            _ => None,
        }
    }

    /// The word in the file, or the default when there is none.
    fn word(&mut self, table: &'static str, name: &'static str) -> Option<&'static str> {
        let schema = option_schema(table, name)?;
        if let Some(word) = self.read_value(table, name, |value| read_word(schema, value)) {
            return Some(word);
        }
        match schema.default {
            ProcessDefault::Word(word) => Some(word),
            _ => None,
        }
    }

    fn name<T: FromStr<Err = stairward_types::InvalidName>>(
        &mut self,
        table: &'static str,
        name: &'static str,
    ) -> Option<T> {
        self.read_value(table, name, |value| {
            let text = read_text(value)?;
            text.parse()
                .map_err(|source| ProblemKind::BadName { source })
        })
    }

    fn address(&mut self, table: &'static str, name: &'static str) -> Option<SocketAddr> {
        self.read_value(table, name, read_address)
    }

    fn addresses(&mut self, table: &'static str, name: &'static str) -> Option<Vec<SocketAddr>> {
        let schema = option_schema(table, name)?;
        self.read_value(table, name, |value| read_addresses(schema, value))
    }

    fn file(&mut self, table: &'static str, name: &'static str) -> Option<PathBuf> {
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
        .ok_or_else(|| ProblemKind::BadAddress {
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
