//! Authorization of admin requests.

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

/// HMAC key for the constant-time comparison of tokens. It need not be secret.
const COMPARISON_KEY: &[u8] = b"stairward admin token";

/// The secret that operators present as a bearer token. Its `Debug` output hides the secret.
#[derive(Clone)]
pub struct AdminToken(String);

impl AdminToken {
    /// Wraps the secret.
    #[must_use]
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Compares `presented` with the secret in constant time.
    fn matches(&self, presented: &str) -> bool {
        let expected = token_mac(&self.0).finalize().into_bytes();
        token_mac(presented).verify_slice(&expected).is_ok()
    }
}

impl fmt::Debug for AdminToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AdminToken(hidden)")
    }
}

fn token_mac(text: &str) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(COMPARISON_KEY).expect("HMAC accepts keys of any length");
    mac.update(text.as_bytes());
    mac
}

/// Whether a request is authorized. Loopback clients need no token, but a presented token must be
/// valid.
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
            .is_some_and(|presented| token.matches(presented)),
    }
}

/// Middleware that rejects requests for which [`is_allowed`] returns false.
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
