//! Answers as they leave over HTTP.

use gotham::helpers::http::Body;
use gotham::helpers::http::response::{create_empty_response, create_response};
use gotham::hyper::header::{HeaderValue, RETRY_AFTER};
use gotham::hyper::{Response, StatusCode};
use gotham::state::State;
use serde_json::{Value, json};

use super::event::ObjectAnswer;
use super::request::RequestError;

/// The response for a request that was refused before it came to the store.
#[must_use]
pub fn refusal(state: &State, error: &RequestError) -> Response<Body> {
    json_response(
        state,
        error.status(),
        &json!({ "error": error.to_string() }),
    )
}

/// The response for an answer of the store.
#[must_use]
pub fn response(state: &State, answer: ObjectAnswer) -> Response<Body> {
    match answer {
        ObjectAnswer::Found { version, value } => {
            let body = json!({ "version": version, "value": value });
            json_response(state, StatusCode::OK, &body)
        }
        ObjectAnswer::Missing => json_response(
            state,
            StatusCode::NOT_FOUND,
            &json!({ "error": "no such object" }),
        ),
        ObjectAnswer::Unchanged => create_empty_response(state, StatusCode::NO_CONTENT),
        ObjectAnswer::Written { version } => {
            json_response(state, StatusCode::OK, &json!({ "version": version }))
        }
        ObjectAnswer::Conflict { version } => {
            json_response(state, StatusCode::CONFLICT, &json!({ "version": version }))
        }
        ObjectAnswer::Listed(objects) => json_response(state, StatusCode::OK, &json!(objects)),
        ObjectAnswer::Machines(machines) => json_response(state, StatusCode::OK, &json!(machines)),
        ObjectAnswer::MachinesTaken => json_response(state, StatusCode::OK, &json!({})),
        ObjectAnswer::TooManyReaders { retry_after } => {
            let error = json!({ "error": "too many readers" });
            let mut response = json_response(state, StatusCode::TOO_MANY_REQUESTS, &error);
            let seconds = HeaderValue::from(retry_after.as_secs().max(1));
            response.headers_mut().insert(RETRY_AFTER, seconds);
            response
        }
        ObjectAnswer::Unavailable => unavailable(state),
        ObjectAnswer::Full => {
            let error = json!({ "error": "the store is full" });
            json_response(state, StatusCode::INSUFFICIENT_STORAGE, &error)
        }
    }
}

/// The response when the store is down.
#[must_use]
pub fn unavailable(state: &State) -> Response<Body> {
    let error = json!({ "error": "the store is down" });
    json_response(state, StatusCode::SERVICE_UNAVAILABLE, &error)
}

fn json_response(state: &State, status: StatusCode, body: &Value) -> Response<Body> {
    create_response(state, status, mime::APPLICATION_JSON, body.to_string())
}
