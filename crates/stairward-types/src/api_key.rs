//! The key that a client proves its tenant with. It is a secret: nothing shows it.

use std::fmt;

/// A key of a tenant. Its debug output hides it, and it has no other text form.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Wraps a key of any length.
    #[must_use]
    pub fn new(key: impl Into<Box<str>>) -> Self {
        Self(key.into())
    }

    /// Whether the key is the empty text, which proves nothing.
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
