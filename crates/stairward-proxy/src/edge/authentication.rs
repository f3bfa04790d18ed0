//! SCRAM-SHA-256 (RFC 7677), by pgwire's server side.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use bytes::Buf;
use pgwire::api::auth::Password;
use pgwire::api::auth::sasl::scram::{
    SCRAM_ITERATIONS, ScramServerAuth, ScramServerAuthWaitingForClientFinal, gen_salted_password,
};
use snafu::{OptionExt, Snafu};

use super::settings::Users;

pub(super) const MECHANISM: &str = "SCRAM-SHA-256";
const SALT_BYTES: usize = 16;
/// Refused users for whom a made-up salt is remembered.
const MAXIMUM_UNKNOWN_USERS: usize = 1_000;

/// An exchange that failed. Deliberately says no more: callers must not learn why.
#[derive(Debug, Snafu)]
#[snafu(display("authentication failed"))]
pub(super) struct AuthenticationError;

struct SaltedPassword {
    salt: Vec<u8>,
    password: Vec<u8>,
}

/// The users that may connect, with their salted passwords once they were needed.
pub(super) struct Passwords {
    users: Users,
    salted: Mutex<HashMap<String, SaltedPassword>>,
}

impl Passwords {
    pub(super) fn new(users: Users) -> Self {
        Self {
            users,
            salted: Mutex::default(),
        }
    }

    /// Answers the caller's first message; returns what to send and what checks the second one.
    ///
    /// # Errors
    /// [`AuthenticationError`] when the message is malformed.
    pub(super) fn begin(
        &self,
        user: &str,
        initial_response: &[u8],
    ) -> Result<(String, ScramServerAuthWaitingForClientFinal), AuthenticationError> {
        let client_first = sasl_initial_data(initial_response).context(AuthenticationSnafu)?;
        ScramServerAuth::new()
            .on_client_first_message(client_first, self.salted_password(user))
            .ok()
            .context(AuthenticationSnafu)
    }

    /// The salted password of a user. One who is unknown gets a made-up one, so that the exchange
    /// doesn't tell which users exist.
    fn salted_password(&self, user: &str) -> Password {
        let mut salted = self.salted.lock().unwrap_or_else(PoisonError::into_inner);
        if salted.len() > self.users.len() + MAXIMUM_UNKNOWN_USERS {
            salted.clear();
        }
        let entry = salted
            .entry(user.to_owned())
            .or_insert_with(|| self.salt_password(user));
        Password::new(Some(entry.salt.clone()), entry.password.clone())
    }

    fn salt_password(&self, user: &str) -> SaltedPassword {
        let salt = rand::random::<[u8; SALT_BYTES]>().to_vec();
        let password = match self.users.get(user) {
            Some(password) => gen_salted_password(password, &salt, SCRAM_ITERATIONS),
            None => rand::random::<[u8; 32]>().to_vec(),
        };
        SaltedPassword { salt, password }
    }
}

/// Checks the caller's second message; returns what proves the server to the caller.
///
/// # Errors
/// [`AuthenticationError`] when the proof is wrong.
pub(super) fn finish(
    exchange: &ScramServerAuthWaitingForClientFinal,
    response: &[u8],
) -> Result<String, AuthenticationError> {
    exchange
        .on_client_final_message(response)
        .ok()
        .context(AuthenticationSnafu)
}

/// The SCRAM data within a `SASLInitialResponse`: mechanism name, zero byte, length, data.
fn sasl_initial_data(mut body: &[u8]) -> Option<&[u8]> {
    let name_length = body.iter().position(|byte| *byte == 0)?;
    let name = &body[..name_length];
    body = &body[name_length + 1..];
    if name != MECHANISM.as_bytes() || body.len() < 4 {
        return None;
    }
    let length = usize::try_from(body.get_i32()).ok()?;
    (body.len() == length).then_some(body)
}
