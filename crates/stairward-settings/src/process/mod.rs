//! Bootstrap settings of one process, which it needs before it can reach other nodes: its addresses, its
//! region and zone, and its keys. Loaded from a TOML file, or built by a program that embeds nodes.

mod load;
mod reader;
mod schema;
mod secret;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use stairward_types::{NodeId, RegionName, ResultCode, ZoneName};

pub use schema::{
    LOG_FORMATS, LOG_LEVELS, PROCESS_OPTIONS, ProcessDefault, ProcessOption, ProcessValueKind,
};
pub use secret::{Secret, SecretSource, TlsFiles, Users, UsersSource};

use crate::problem::{ProblemKind, SettingsProblem};
use schema::{DEFAULT_DRAIN_TIMEOUT_MS, DEFAULT_MAXIMUM_CLIENTS};

/// Minimum length of a cluster key, in bytes.
pub const MINIMUM_CLUSTER_KEY_BYTES: usize = 16;

/// Label for the derivation of the token key, which separates it from other keys derived from the
/// cluster key.
const TOKEN_KEY_PURPOSE: &[u8] = b"stairward session token key, version 1";

/// The settings of a process file, one field for each table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessSettings {
    /// `[node]`
    pub node: NodeSettings,
    /// `[listen]`
    pub listen: ListenSettings,
    /// `[platform]`
    pub platform: PlatformSettings,
    /// `[cluster]`
    pub cluster: ClusterSettings,
    /// `[callers]`
    pub callers: CallerSettings,
    /// `[backends]`
    pub backends: BackendAccessSettings,
    /// `[admin]`
    pub admin: AdminSettings,
    /// `[log]`
    pub log: LogSettings,
    /// `[drain]`
    pub drain: DrainSettings,
}

/// Identity and location of the node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// The node id; derived from the peer address when not set.
    pub id: Option<NodeId>,
    /// The region in which it runs.
    pub region: RegionName,
    /// The zone in which it runs.
    pub zone: ZoneName,
}

/// Listening addresses of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address for callers.
    pub client: SocketAddr,
    /// Address for other nodes, for both TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// Connection to the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Addresses of the API, tried in turn.
    pub addresses: Vec<SocketAddr>,
}

/// Connection to the other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// Initial peer addresses for joining the cluster.
    pub seeds: Vec<SocketAddr>,
    /// The cluster key, shared by all nodes.
    pub key: SecretSource,
}

/// Connections from callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// The users that may log in.
    pub users: UsersSource,
    /// The server certificate; TLS is disabled without one.
    pub tls: Option<TlsFiles>,
    /// Maximum number of concurrent client connections.
    pub maximum_clients: u32,
    /// The key that protects session tokens; derived from the cluster key when not set.
    pub token_key: Option<SecretSource>,
}

/// Connections to back ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAccessSettings {
    /// The password with which proxies log in.
    pub password: SecretSource,
    /// PEM file of the trusted root certificates; TLS is disabled without one.
    pub root_certificate_file: Option<PathBuf>,
}

/// The admin interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminSettings {
    /// The token required of operators; no token is required without one.
    pub token: Option<SecretSource>,
    /// The server certificate; TLS is disabled without one.
    pub tls: Option<TlsFiles>,
}

/// Level and format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum severity, one of [`LOG_LEVELS`].
    pub level: &'static str,
    /// Format of the log lines.
    pub format: LogFormat,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Drain before a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSettings {
    /// Maximum duration, after which remaining work is cut off.
    pub timeout: Duration,
}

impl ProcessSettings {
    /// Settings for a node embedded in a program: all listeners on ephemeral loopback ports, no users,
    /// no files, no TLS, no admin token. Callers may change the fields as needed.
    #[must_use]
    pub fn embedded(
        region: RegionName,
        zone: ZoneName,
        platform: Vec<SocketAddr>,
        cluster_key: Secret,
    ) -> Self {
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            node: NodeSettings {
                id: None,
                region,
                zone,
            },
            listen: ListenSettings {
                client: loopback,
                peer: loopback,
                admin: loopback,
            },
            platform: PlatformSettings {
                addresses: platform,
            },
            cluster: ClusterSettings {
                seeds: Vec::new(),
                key: SecretSource::Inline(cluster_key),
            },
            callers: CallerSettings {
                users: UsersSource::Inline(Users::new()),
                tls: None,
                maximum_clients: u32::try_from(DEFAULT_MAXIMUM_CLIENTS).unwrap_or(u32::MAX),
                token_key: None,
            },
            backends: BackendAccessSettings {
                password: SecretSource::Inline(Secret::new("")),
                root_certificate_file: None,
            },
            admin: AdminSettings {
                token: None,
                tls: None,
            },
            log: LogSettings {
                level: "info",
                format: LogFormat::Text,
            },
            drain: DrainSettings {
                timeout: Duration::from_millis(DEFAULT_DRAIN_TIMEOUT_MS),
            },
        }
    }

    /// The node id: the configured one, or one derived from the address at which the node listens for
    /// peers, so that a process restarted at the same address keeps its id.
    #[must_use]
    pub fn node_id(&self, peer_address: SocketAddr) -> NodeId {
        self.node.id.unwrap_or_else(|| derive_node_id(peer_address))
    }

    /// Reads all files referenced by the settings and reports the problems with them.
    #[must_use]
    pub fn check_referenced_files(&self) -> Vec<SettingsProblem> {
        let mut problems = Vec::new();
        problems.extend(self.load_cluster_key().err());
        problems.extend(self.callers.users.load().err().unwrap_or_default());
        let secrets = [
            self.callers.token_key.as_ref(),
            Some(&self.backends.password),
            self.admin.token.as_ref(),
        ];
        for secret in secrets.into_iter().flatten() {
            problems.extend(secret.load().err());
        }
        let certificates = [self.callers.tls.as_ref(), self.admin.tls.as_ref()];
        let files = certificates
            .into_iter()
            .flatten()
            .flat_map(|tls| [&tls.certificate_file, &tls.key_file])
            .chain(self.backends.root_certificate_file.as_ref());
        for file in files {
            problems.extend(SecretSource::File(file.clone()).load().err());
        }
        problems
    }

    /// Loads the cluster key.
    ///
    /// # Errors
    /// [`SettingsProblem`] when the key cannot be read or is shorter than
    /// [`MINIMUM_CLUSTER_KEY_BYTES`].
    pub fn load_cluster_key(&self) -> Result<Secret, SettingsProblem> {
        let key = self.cluster.key.load()?;
        let bytes = key.expose().len();
        if bytes >= MINIMUM_CLUSTER_KEY_BYTES {
            return Ok(key);
        }
        Err(SettingsProblem {
            path: "cluster".to_owned(),
            option: Some("key_file".to_owned()),
            line: None,
            code: ResultCode::InvalidProcessFile,
            kind: Box::new(ProblemKind::ShortKey {
                bytes,
                minimum: MINIMUM_CLUSTER_KEY_BYTES,
            }),
        })
    }

    /// Loads the key that protects session tokens, or derives it from the cluster key.
    ///
    /// # Errors
    /// [`SettingsProblem`] when a key cannot be loaded.
    pub fn load_token_key(&self) -> Result<Secret, SettingsProblem> {
        match &self.callers.token_key {
            Some(source) => source.load(),
            None => Ok(derive_token_key(&self.load_cluster_key()?)),
        }
    }
}

/// Width of a port number, in bits.
const PORT_BITS: u32 = 16;
/// Width of derived node ids, in bits: JSON parsers that use doubles represent integers exactly up to
/// this width.
const NODE_ID_BITS: u32 = 53;

/// Derives a node id from the address at which the node listens for peers.
///
/// An IPv4 address and port are encoded in the id directly, so distinct addresses have distinct ids. An
/// IPv6 address and port are hashed to 53 bits.
#[must_use]
pub fn derive_node_id(peer_address: SocketAddr) -> NodeId {
    let port = peer_address.port();
    match peer_address.ip().to_canonical() {
        IpAddr::V4(ip) => NodeId((u64::from(u32::from(ip)) << PORT_BITS) | u64::from(port)),
        IpAddr::V6(ip) => {
            let hash = Sha256::new()
                .chain_update(ip.octets())
                .chain_update(port.to_be_bytes())
                .finalize();
            let first_bytes = hash
                .iter()
                .take(size_of::<u64>())
                .fold(0, |number: u64, byte| (number << 8) | u64::from(*byte));
            NodeId(first_bytes >> (u64::BITS - NODE_ID_BITS))
        }
    }
}

/// Derives the key that protects session tokens: the HMAC-SHA-256 of a fixed label under the cluster
/// key.
#[must_use]
pub fn derive_token_key(cluster_key: &Secret) -> Secret {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(cluster_key.expose()) else {
        unreachable!("HMAC accepts keys of any length");
    };
    mac.update(TOKEN_KEY_PURPOSE);
    Secret::new(mac.finalize().into_bytes().to_vec())
}
