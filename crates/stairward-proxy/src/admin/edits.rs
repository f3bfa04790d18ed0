//! Edits the settings and sets the admin state of back ends.

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::Body;
use gotham::http_body_util::{BodyExt as _, Limited};
use gotham::hyper::header::CONTENT_TYPE;
use gotham::hyper::{HeaderMap, Response};
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState as _, State, StateData};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use stairward_settings::{Change, Edit, SettingsDocument, SettingsOption, SettingsPath, Value};
use stairward_types::{ChangeId, ResultCode, Revision};

use super::context::AdminContext;
use super::error::{AdminError, ProblemBody, answer};
use super::settings::document;

/// Maximum size of a request body, in bytes.
const MAXIMUM_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Body of `POST /settings/edits`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EditBody {
    change_id: ChangeId,
    based_on: Revision,
    changes: Vec<ChangeBody>,
}

/// One change of an edit, with names not yet validated: sets an option, unsets it (no value or
/// null), adds a place or removes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    path: String,
    option: Option<String>,
    value: Option<Value>,
    #[serde(default)]
    add: bool,
    #[serde(default)]
    remove: bool,
}

/// Body of `POST /backends/NAME`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MarkBody {
    /// `joining`, `active` or `leaving`.
    admin_state: String,
    /// Generated if absent; a client that loses the response then cannot find out whether the edit
    /// was applied.
    change_id: Option<ChangeId>,
    /// The revision the edit is based on; this node's current revision if absent.
    based_on: Option<Revision>,
}

/// Path of `POST /backends/NAME`.
#[derive(Debug, Deserialize)]
pub(super) struct BackendName {
    name: String,
}

impl StateData for BackendName {}

impl StaticResponseExtender for BackendName {
    type ResBody = Body;
    fn extend(_state: &mut State, _response: &mut Response<Body>) {}
}

/// Response to an accepted edit.
#[derive(Serialize)]
struct EditedBody {
    change_id: ChangeId,
    /// The revision created by the edit.
    revision: Revision,
}

/// Handles `POST /settings/edits`.
pub(super) async fn post_edit(state: &mut State) -> SimpleHandlerResult {
    let context = AdminContext::borrow_from(state).clone();
    let body = read_json::<EditBody>(state).await;
    let edit = body.and_then(EditBody::into_edit);
    answer(match edit {
        Ok(edit) => submit_edit(&context, &edit).await,
        Err(error) => Err(error),
    })
}

/// Handles `POST /backends/NAME`: marks a back end as joining, active or leaving.
pub(super) async fn mark_backend(state: &mut State) -> SimpleHandlerResult {
    let context = AdminContext::borrow_from(state).clone();
    let name = BackendName::take_from(state).name;
    let body = read_json::<MarkBody>(state).await;
    let document = document(state);
    let edit = body.and_then(|body| admin_state_edit(&*document?, &name, body));
    answer(match edit {
        Ok(edit) => submit_edit(&context, &edit).await,
        Err(error) => Err(error),
    })
}

async fn submit_edit(context: &AdminContext, edit: &Edit) -> Result<EditedBody, AdminError> {
    let outcome = context.configuration.edit(edit).await?;
    Ok(EditedBody {
        change_id: edit.change_id,
        revision: outcome.revision,
    })
}

fn admin_state_edit(
    document: &SettingsDocument,
    name: &str,
    body: MarkBody,
) -> Result<Edit, AdminError> {
    let path = document
        .tree()
        .places()
        .map(|(path, _)| path)
        .find(|path| matches!(path, SettingsPath::Backend(.., backend) if backend.as_str() == name))
        .ok_or_else(|| AdminError::not_found(format!("there is no back end {name}")))?;
    Ok(Edit {
        change_id: body.change_id.unwrap_or_else(|| ChangeId(rand::random())),
        based_on: body.based_on.unwrap_or_else(|| document.revision()),
        changes: vec![Change::Set {
            path: path.clone(),
            option: SettingsOption::AdminState,
            value: Value::Text(body.admin_state),
        }],
    })
}

impl EditBody {
    /// Validates all names and reports all problems together.
    fn into_edit(self) -> Result<Edit, AdminError> {
        let mut problems = Vec::new();
        let mut changes = Vec::new();
        for change in self.changes {
            match change.into_change() {
                Ok(change) => changes.push(change),
                Err(problem) => problems.push(problem),
            }
        }
        if !problems.is_empty() {
            return Err(AdminError::invalid_settings(problems));
        }
        Ok(Edit {
            change_id: self.change_id,
            based_on: self.based_on,
            changes,
        })
    }
}

impl ChangeBody {
    fn into_change(self) -> Result<Change, ProblemBody> {
        let path = parse_path(&self.path)?;
        let option = self
            .option
            .as_deref()
            .map(|option| parse_option(&self.path, option))
            .transpose()?;
        Change::from_parts(path, option, self.value, self.add, self.remove)
            .map_err(|error| invalid_name_problem(&self.path, None, &error))
    }
}

fn parse_path(path: &str) -> Result<SettingsPath, ProblemBody> {
    path.parse()
        .map_err(|error: stairward_settings::InvalidPath| invalid_name_problem(path, None, &error))
}

fn parse_option(path: &str, option: &str) -> Result<SettingsOption, ProblemBody> {
    SettingsOption::from_name(option)
        .map_err(|error| invalid_name_problem(path, Some(option), &error))
}

fn invalid_name_problem(path: &str, option: Option<&str>, error: &impl ToString) -> ProblemBody {
    ProblemBody {
        path: path.to_owned(),
        option: option.map(str::to_owned),
        code: ResultCode::InvalidSettings.number(),
        message: error.to_string(),
    }
}

/// Reads a JSON body of bounded size. The content type must be JSON: browsers send it to another
/// origin only after a CORS preflight, which protects against cross-site requests.
async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, AdminError> {
    let is_json = HeaderMap::borrow_from(state)
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<mime::Mime>().ok())
        .is_some_and(|value| value.essence_str() == mime::APPLICATION_JSON.essence_str());
    if !is_json {
        return Err(AdminError::bad_request(
            "the content type must be application/json",
        ));
    }
    let body = Limited::new(Body::take_from(state), MAXIMUM_BODY_BYTES);
    let bytes = body
        .collect()
        .await
        .map_err(|_| AdminError::new(ResultCode::MessageTooLarge))?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| AdminError::bad_request(error.to_string()))
}
