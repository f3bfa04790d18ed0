//! Error responses of the admin interface: JSON bodies with a numbered result code.

use bytes::Bytes;
use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::Body;
use gotham::http_body_util::{BodyExt as _, Full};
use gotham::hyper::header::{CONTENT_TYPE, HeaderValue};
use gotham::hyper::{Response, StatusCode};
use serde::Serialize;
use stairward_settings::{AppliedEdit, EditError, SettingsProblem};
use stairward_store::EditFailure;
use stairward_types::{ResultCode, Revision};

/// Content type of all bodies except the metrics.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// One problem of an edit and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ProblemBody {
    /// The path in the settings tree.
    pub path: String,
    /// The option, if the problem concerns one.
    pub option: Option<String>,
    /// Number of the [`ResultCode`].
    pub code: u16,
    /// Human-readable description.
    pub message: String,
}

impl From<&SettingsProblem> for ProblemBody {
    fn from(problem: &SettingsProblem) -> Self {
        Self {
            path: problem.path.clone(),
            option: problem.option.clone(),
            code: problem.code.number(),
            message: problem.kind.to_string(),
        }
    }
}

/// The newer revision that an edit conflicts with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConflictBody {
    /// The newest revision.
    pub newest: Revision,
    /// The edits since the revision the rejected edit was based on; none when the history no longer
    /// reaches back that far.
    pub changed_since: Option<Vec<AppliedEdit>>,
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// Number of the [`ResultCode`].
    pub code: u16,
    /// Its name.
    pub name: &'static str,
    /// Human-readable description.
    pub message: String,
    /// The problems of an invalid edit.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemBody>,
    /// The revision that an edit conflicts with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ConflictBody>,
}

/// An error response to an admin request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AdminError {
    status: StatusCode,
    body: ErrorBody,
}

impl AdminError {
    /// An error with the code's own message and HTTP status.
    pub(super) fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.message())
    }

    /// An error with a specific message.
    pub(super) fn with_message(code: ResultCode, message: impl Into<String>) -> Self {
        let body = ErrorBody {
            code: code.number(),
            name: code.name(),
            message: message.into(),
            problems: Vec::new(),
            conflict: None,
        };
        Self {
            status: http_status(code),
            body,
        }
    }

    /// A malformed request.
    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self::with_message(ResultCode::InvalidAdminRequest, message)
    }

    /// The requested name or path does not exist.
    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            ..Self::bad_request(message)
        }
    }

    /// An invalid edit with the given problems.
    pub(super) fn invalid_settings(problems: Vec<ProblemBody>) -> Self {
        let mut error = Self::new(ResultCode::InvalidSettings);
        error.body.problems = problems;
        error
    }

    pub(super) fn into_response(self) -> Response<Body> {
        json_response(self.status, &self.body)
    }
}

impl From<EditFailure> for AdminError {
    fn from(failure: EditFailure) -> Self {
        let mut error = Self::with_message(failure.code(), failure.to_string());
        match failure {
            EditFailure::Refused { source } => error.add_details(source),
            EditFailure::InvalidTree { problems } => {
                error.body.problems = problems.iter().map(ProblemBody::from).collect();
            }
            _ => {}
        }
        error
    }
}

impl AdminError {
    fn add_details(&mut self, refusal: EditError) {
        match refusal {
            EditError::Conflict {
                newest,
                changed_since,
                ..
            } => {
                self.body.conflict = Some(ConflictBody {
                    newest,
                    changed_since,
                });
            }
            EditError::Invalid { problems } => {
                self.body.problems = problems.iter().map(ProblemBody::from).collect();
            }
            EditError::AlreadyApplied { .. } | EditError::ChangeIdReused { .. } => {}
        }
    }
}

fn http_status(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::AdminForbidden => StatusCode::UNAUTHORIZED,
        ResultCode::EditConflict => StatusCode::CONFLICT,
        ResultCode::InvalidSettings => StatusCode::UNPROCESSABLE_ENTITY,
        ResultCode::InvalidAdminRequest => StatusCode::BAD_REQUEST,
        ResultCode::MessageTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Builds a response with a JSON body.
pub(super) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    response(status, JSON, bytes)
}

/// Builds a response with a status, a content type and a body.
pub(super) fn response(
    status: StatusCode,
    content_type: HeaderValue,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|infallible| match infallible {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Converts a handler's result into a response.
pub(super) fn answer(result: Result<impl Serialize, AdminError>) -> SimpleHandlerResult {
    Ok(match result {
        Ok(body) => json_response(StatusCode::OK, &body),
        Err(error) => error.into_response(),
    })
}
