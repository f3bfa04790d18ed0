//! Settings with which an edge is started, apart from the shared settings tree.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stairward_session::TokenKey;

/// Maps the names of the users that may connect to their passwords.
pub type Users = BTreeMap<String, String>;

/// Startup settings of an edge. Settings that can change at run time are read from the cluster's
/// settings or replaced through [`super::EdgeService`].
#[derive(Clone)]
pub struct EdgeSettings {
    /// Signs session tokens; must be the same on all proxies of a cluster.
    pub token_key: TokenKey,
    /// Users that authenticate by SCRAM-SHA-256; `None` accepts all clients without a password.
    pub users: Option<Users>,
    /// TLS configuration; `None` declines TLS.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// Maximum number of client connections, including those still authenticating.
    pub maximum_clients: usize,
    /// Time limit for startup and authentication.
    pub startup_timeout: Duration,
}

impl EdgeSettings {
    /// Settings that accept all clients without a password, without TLS and for at most 20,000
    /// connections.
    #[must_use]
    pub fn with_trust_authentication(token_key: TokenKey) -> Self {
        Self {
            token_key,
            users: None,
            tls: None,
            maximum_clients: 20_000,
            startup_timeout: Duration::from_secs(10),
        }
    }
}
