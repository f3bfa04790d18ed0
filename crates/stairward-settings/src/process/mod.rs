//! What one process must know before it can learn anything from others: its addresses, its place and
//! its keys. Read from a TOML file, or built by a program that embeds nodes.

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

/// Fewest bytes of a cluster key.
pub const MINIMUM_CLUSTER_KEY_BYTES: usize = 16;

/// What the token key is derived for, so that it differs from other keys of the cluster key.
const TOKEN_KEY_PURPOSE: &[u8] = b"stairward session token key, version 1";

/// Everything in a process file.
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

/// The node's place in the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Its number; derived from the peer address when not given.
    pub id: Option<NodeId>,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

/// Where the process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub client: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// The platform's object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Its addresses, tried in turn.
    pub addresses: Vec<SocketAddr>,
}

/// The other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// Peer addresses to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The key shared by all nodes.
    pub key: SecretSource,
}

/// The callers' side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// Who may log in.
    pub users: UsersSource,
    /// The certificate shown; no TLS without it.
    pub tls: Option<TlsFiles>,
    /// Client connections accepted at once.
    pub maximum_clients: u32,
    /// The key of session tokens; derived from the cluster key when not given.
    pub token_key: Option<SecretSource>,
}

/// The back ends' side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAccessSettings {
    /// The password proxies log in with.
    pub password: SecretSource,
    /// PEM file of the certificates that may sign back ends' certificates; no TLS without it.
    pub root_certificate_file: Option<PathBuf>,
}

/// The admin interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminSettings {
    /// The token operators must show; none is asked for without it.
    pub token: Option<SecretSource>,
    /// Its certificate; no TLS without it.
    pub tls: Option<TlsFiles>,
}

/// How talkative the log is, and in which form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// One of [`LOG_LEVELS`].
    pub level: &'static str,
    /// The form of its lines.
    pub format: LogFormat,
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSettings {
    /// How long it may take.
    pub timeout: Duration,
}

impl ProcessSettings {
    /// Settings for a node embedded in a program: all listeners on ephemeral loopback ports, no
    /// files, no TLS, no admin token. Change the fields as needed.
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

    /// The node's number when it listens for peers at this address: the configured one, or one
    /// derived from the address, so that a process that returns there has the same number.
    #[must_use]
    pub fn node_id(&self, peer_address: SocketAddr) -> NodeId {
        self.node.id.unwrap_or_else(|| derive_node_id(peer_address))
    }

    /// Reads every file that the settings name, and tells what is wrong with them.
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

    /// Reads the key shared by all nodes.
    ///
    /// # Errors
    /// [`SettingsProblem`] when the file cannot be read or the key is shorter than
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

    /// Reads the key of session tokens, or derives it from the cluster key.
    ///
    /// # Errors
    /// [`SettingsProblem`] when a file cannot be read.
    pub fn load_token_key(&self) -> Result<Secret, SettingsProblem> {
        match &self.callers.token_key {
            Some(source) => source.load(),
            None => Ok(derive_token_key(&self.load_cluster_key()?)),
        }
    }
}

/// Bits of a port number.
const PORT_BITS: u32 = 16;
/// Derived numbers stay below this many bits, so that JSON readers hold them exactly.
const NODE_ID_BITS: u32 = 53;

/// The number of a node that listens for peers at this address.
///
/// An IPv4 address and its port are the number themselves, so no two nodes share one. Of an IPv6
/// address it is 53 bits of a hash.
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

/// The key of session tokens derived from a cluster key: HMAC-SHA-256 of a fixed purpose.
#[must_use]
pub fn derive_token_key(cluster_key: &Secret) -> Secret {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(cluster_key.expose()) else {
        unreachable!("HMAC takes keys of any length");
    };
    mac.update(TOKEN_KEY_PURPOSE);
    Secret::new(mac.finalize().into_bytes().to_vec())
}
