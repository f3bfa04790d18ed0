//! What an edge is started with, apart from the settings tree.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stairward_session::TokenKey;

/// Names and passwords of the users that may connect.
pub type Users = BTreeMap<String, String>;

/// How an edge serves callers. What can change while it runs is read from the cluster's settings, or
/// replaced through [`super::EdgeService`].
#[derive(Clone)]
pub struct EdgeSettings {
    /// Signs session tokens; the same on all proxies of a cluster.
    pub token_key: TokenKey,
    /// Users who authenticate by SCRAM-SHA-256; `None` trusts every client.
    pub users: Option<Users>,
    /// Certificates for TLS; `None` refuses TLS.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// Client connections at once, those still authenticating included.
    pub maximum_clients: usize,
    /// How long a client may take to start up and authenticate.
    pub startup_timeout: Duration,
}

impl EdgeSettings {
    /// Trust authentication for every client, no TLS, and at most 20,000 clients.
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
