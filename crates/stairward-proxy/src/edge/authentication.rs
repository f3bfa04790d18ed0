//! SCRAM-SHA-256 authentication (RFC 7677), based on pgwire's server implementation.

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
/// Bound on the cached salts of unknown user names, so that attempts with random names can't
/// exhaust memory.
const MAXIMUM_UNKNOWN_USERS: usize = 1_000;

/// A failed authentication exchange. It carries no reason, since clients must not learn why they
/// were refused.
#[derive(Debug, Snafu)]
#[snafu(display("authentication failed"))]
pub(super) struct AuthenticationError;

struct SaltedPassword {
    salt: Vec<u8>,
    password: Vec<u8>,
}

/// The users that may connect, with their salted passwords. Passwords are salted on first use.
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

    /// Processes the client's first message. Returns the server's response and the state that
    /// verifies the second message.
    ///
    /// # Errors
    /// [`AuthenticationError`] if the message is malformed.
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

    /// The salted password of a user. Unknown users get a random one, so that the exchange doesn't
    /// reveal which users exist.
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

/// Verifies the client's final message. Returns the server's final message, which proves its
/// identity to the client.
///
/// # Errors
/// [`AuthenticationError`] if the client's proof is wrong.
pub(super) fn finish(
    exchange: &ScramServerAuthWaitingForClientFinal,
    response: &[u8],
) -> Result<String, AuthenticationError> {
    exchange
        .on_client_final_message(response)
        .ok()
        .context(AuthenticationSnafu)
}

/// Extracts the SCRAM data from a `SASLInitialResponse`: mechanism name, zero byte, length, data.
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
