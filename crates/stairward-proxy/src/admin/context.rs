//! State shared by all admin request handlers.

use std::ops::Deref;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use gotham::state::StateData;

use super::authorization::AdminToken;
use super::server::AdminOptions;

/// State shared by all admin request handlers. Cheap to clone.
pub(super) struct AdminContext {
    // Unwind safe because handlers only send on channels: a panic leaves no state partially
    // modified.
    options: AssertUnwindSafe<Arc<AdminOptions>>,
}

impl Clone for AdminContext {
    fn clone(&self) -> Self {
        Self {
            options: AssertUnwindSafe(Arc::clone(&self.options)),
        }
    }
}

impl StateData for AdminContext {}

impl AdminContext {
    pub(super) fn new(options: AdminOptions) -> Self {
        Self {
            options: AssertUnwindSafe(Arc::new(options)),
        }
    }

    pub(super) fn token(&self) -> Option<&AdminToken> {
        self.options.token.as_ref()
    }
}

impl Deref for AdminContext {
    type Target = AdminOptions;
    fn deref(&self) -> &AdminOptions {
        &self.options
    }
}
