//! Loads a process file from TOML and reports each problem with its line.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use stairward_types::{NodeId, ResultCode};

use super::reader::{Reader, problem};
use super::{
    AdminSettings, BackendAccessSettings, CallerSettings, ClusterSettings, DrainSettings,
    ListenSettings, LogFormat, LogSettings, NodeSettings, PlatformSettings, ProcessSettings,
    UsersSource,
};
use crate::problem::{ProblemKind, SettingsProblem};
use crate::toml_text::{self, LineIndex};

impl ProcessSettings {
    /// Loads a process file.
    ///
    /// # Errors
    /// All problems found, with their lines where known.
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

    /// Parses a process file. Relative paths in it are resolved against `directory`; the files that
    /// they refer to are not opened.
    ///
    /// # Errors
    /// All problems found, with their lines where known.
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

impl Reader<'_> {
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

    /// Reads `[admin]`. An admin interface on an address other than loopback requires a token and TLS.
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
}
