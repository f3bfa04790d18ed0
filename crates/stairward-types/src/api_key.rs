//! The API key that authenticates a client as belonging to a tenant. It is a secret and never printed.

use std::fmt;

/// API key of a tenant. Its debug output hides the key, and it cannot be formatted otherwise.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Wraps a key of any length.
    #[must_use]
    pub fn new(key: impl Into<Box<str>>) -> Self {
        Self(key.into())
    }

    /// Whether the key is empty, which authenticates no tenant.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}
