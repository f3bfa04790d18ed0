//! Refusals of the admin interface, as JSON with a numbered result code.

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

/// Content type of all bodies but the metrics.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// One thing wrong with an edit, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ProblemBody {
    /// The place in the settings tree.
    pub path: String,
    /// The option, when the problem is with one.
    pub option: Option<String>,
    /// Number of the [`ResultCode`].
    pub code: u16,
    /// What is wrong, for people.
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

/// The newer revision that an edit clashes with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ConflictBody {
    /// The newest revision.
    pub newest: Revision,
    /// The edits since the one the refused edit was based on; none when that is too long ago.
    pub changed_since: Option<Vec<AppliedEdit>>,
}

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// Number of the [`ResultCode`].
    pub code: u16,
    /// Its name.
    pub name: &'static str,
    /// What happened, for people.
    pub message: String,
    /// Everything wrong with an edit.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemBody>,
    /// What an edit clashes with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub conflict: Option<ConflictBody>,
}

/// A request that is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct AdminError {
    status: StatusCode,
    body: ErrorBody,
}

impl AdminError {
    /// A refusal with the code's own message and usual HTTP status.
    pub(super) fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.message())
    }

    /// A refusal with a message of its own.
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

    /// A request that cannot be understood.
    pub(super) fn bad_request(message: impl Into<String>) -> Self {
        Self::with_message(ResultCode::InvalidAdminRequest, message)
    }

    /// Nothing has the name or path asked for.
    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            ..Self::bad_request(message)
        }
    }

    /// An edit with these problems.
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

/// A JSON body with a status.
pub(super) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    response(status, JSON, bytes)
}

/// A whole body with a status and a content type.
pub(super) fn response(
    status: StatusCode,
    content_type: HeaderValue,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Answers with a JSON body, or with the refusal.
pub(super) fn answer(result: Result<impl Serialize, AdminError>) -> SimpleHandlerResult {
    Ok(match result {
        Ok(body) => json_response(StatusCode::OK, &body),
        Err(error) => error.into_response(),
    })
}
