//! Requests as they arrive over HTTP.

use std::time::Duration;

use gotham::http_body_util::{BodyExt as _, Limited};
use gotham::hyper::{Response, StatusCode, Uri};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState, State, StateData};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use gotham::helpers::http::Body;

use super::event::StoreRequest;

/// Largest body of a request, in bytes.
const MAXIMUM_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Longest name of an object, in bytes.
const MAXIMUM_NAME_BYTES: usize = 200;

/// How long a watch waits when the client does not say.
const DEFAULT_WATCH: Duration = Duration::from_secs(30);

/// Why a request was refused before it came to the store.
#[derive(Debug, Snafu)]
pub enum RequestError {
    /// The object's name is not allowed.
    #[snafu(display(
        "the name must be 1 to {MAXIMUM_NAME_BYTES} of letters, digits, '.', '_' and '-'"
    ))]
    Name,
    /// A number in the query is missing or malformed.
    #[snafu(display("the query parameter {parameter:?} must be a whole number"))]
    Number {
        /// The parameter.
        parameter: &'static str,
    },
    /// The body is too large or broke off.
    #[snafu(display("the body is longer than {MAXIMUM_BODY_BYTES} bytes or broke off"))]
    Body,
    /// The body is not the JSON that is wanted.
    #[snafu(display("the body is not valid: {source}"))]
    Json {
        /// What the parser says.
        source: serde_json::Error,
    },
}

impl RequestError {
    /// The HTTP status to answer with.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Body => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// The object's name in the path.
#[derive(Debug, Deserialize)]
pub struct ObjectPath {
    name: String,
}

impl StateData for ObjectPath {}

impl StaticResponseExtender for ObjectPath {
    type ResBody = Body;

    fn extend(_state: &mut State, response: &mut Response<Body>) {
        *response.status_mut() = StatusCode::BAD_REQUEST;
    }
}

fn object_name(state: &mut State) -> Result<String, RequestError> {
    let path = ObjectPath::take_from(state);
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let valid = !path.name.is_empty()
        && path.name.len() <= MAXIMUM_NAME_BYTES
        && path.name.bytes().all(allowed);
    if valid {
        Ok(path.name)
    } else {
        NameSnafu.fail()
    }
}

/// A whole number in the query; none when the parameter is absent.
fn query_number(state: &State, parameter: &'static str) -> Result<Option<u64>, RequestError> {
    let query = Uri::borrow_from(state).query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.find(|(name, _)| *name == parameter) else {
        return Ok(None);
    };
    let number = value.parse();
    number
        .map(Some)
        .map_err(|_| RequestError::Number { parameter })
}

async fn body<T: DeserializeOwned>(state: &mut State) -> Result<T, RequestError> {
    let body = Limited::new(Body::take_from(state), MAXIMUM_BODY_BYTES);
    let body = body.collect().await.map_err(|_| RequestError::Body)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|source| RequestError::Json { source })
}

/// Reads a request for an object.
///
/// # Errors
/// [`RequestError`] for a bad name or number.
pub fn read_get(state: &mut State) -> Result<StoreRequest, RequestError> {
    let name = object_name(state)?;
    let Some(after) = query_number(state, "watch_after")? else {
        return Ok(StoreRequest::Get { name });
    };
    let timeout = query_number(state, "timeout_ms")?;
    Ok(StoreRequest::Watch {
        name,
        after,
        timeout: timeout.map_or(DEFAULT_WATCH, Duration::from_millis),
    })
}

/// Reads a request to write an object.
///
/// # Errors
/// [`RequestError`] for a bad name, number or body.
pub async fn read_put(state: &mut State) -> Result<StoreRequest, RequestError> {
    let name = object_name(state)?;
    let parameter = "if_version";
    let if_version = query_number(state, parameter)?;
    let if_version = if_version.ok_or(RequestError::Number { parameter })?;
    Ok(StoreRequest::Put {
        name,
        if_version,
        value: body(state).await?,
    })
}

/// Reads a request to replace the list of machines.
///
/// # Errors
/// [`RequestError`] for a bad body.
pub async fn read_set_machines(state: &mut State) -> Result<StoreRequest, RequestError> {
    Ok(StoreRequest::SetMachines {
        machines: body(state).await?,
    })
}
