//! Who may use the admin interface.

use std::fmt;
use std::net::IpAddr;
use std::pin::Pin;

use futures::FutureExt as _;
use gotham::handler::HandlerFuture;
use gotham::hyper::HeaderMap;
use gotham::hyper::header::AUTHORIZATION;
use gotham::middleware::{Middleware, NewMiddleware};
use gotham::state::{FromState as _, State, client_addr};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;
use stairward_types::ResultCode;

use super::context::AdminContext;
use super::error::AdminError;

/// Keys the comparison of tokens; it need not be secret.
const COMPARISON_KEY: &[u8] = b"stairward admin token";

/// The secret that operators show as a bearer token. Never shown in logs.
#[derive(Clone)]
pub struct AdminToken(String);

impl AdminToken {
    /// Wraps the secret.
    #[must_use]
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Whether `shown` is the secret, in a time that does not depend on where the two differ.
    fn matches(&self, shown: &str) -> bool {
        let expected = keyed(&self.0).finalize().into_bytes();
        keyed(shown).verify_slice(&expected).is_ok()
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AdminToken(hidden)")
    }
}

fn keyed(text: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(COMPARISON_KEY).expect("HMAC takes keys of any length");
    mac.update(text.as_bytes());
    mac
}

/// Whether a request may go on. Loopback needs no token, but a token that is shown must be right.
pub(super) fn is_allowed(
    client: Option<IpAddr>,
    headers: &HeaderMap,
    token: Option<&AdminToken>,
) -> bool {
    let is_loopback = client.is_some_and(|address| address.is_loopback());
    match (headers.get(AUTHORIZATION), token) {
        (None, _) => is_loopback,
        (Some(_), None) => is_loopback,
        (Some(header), Some(token)) => header
            .to_str()
            .ok()
            .and_then(|value| value.strip_prefix("Bearer "))
            .is_some_and(|shown| token.matches(shown)),
    }
}

/// Refuses requests that [`is_allowed`] does not let pass.
#[derive(Clone, Copy)]
pub(super) struct RequireToken;

impl NewMiddleware for RequireToken {
    type Instance = Self;

    fn new_middleware(&self) -> gotham::anyhow::Result<Self> {
        Ok(*self)
    }
}

impl Middleware for RequireToken {
    fn call<Chain>(self, state: State, chain: Chain) -> Pin<Box<HandlerFuture>>
    where
        Chain: FnOnce(State) -> Pin<Box<HandlerFuture>> + Send + 'static,
    {
        let client = client_addr(&state).map(|address| address.ip());
        let headers = HeaderMap::borrow_from(&state);
        let token = AdminContext::borrow_from(&state).token();
        if is_allowed(client, headers, token) {
            return chain(state);
        }
        let response = AdminError::new(ResultCode::AdminForbidden).into_response();
        async move { Ok((state, response)) }.boxed()
    }
}

#[cfg(test)]
mod tests;
