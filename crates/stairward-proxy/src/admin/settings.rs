//! Reads the settings.

use std::collections::BTreeMap;

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::router::response::StaticResponseExtender;
use gotham::state::{FromState as _, State, StateData};
use serde::{Deserialize, Serialize};
use stairward_settings::{
    AppliedEdit, ExplainedValue, SettingsDocument, SettingsOption, SettingsPath, SettingsTree,
    Value,
};
use stairward_types::{ResultCode, Revision};

use super::context::AdminContext;
use super::error::{AdminError, answer};

/// Query of `GET /settings`.
#[derive(Debug, Deserialize)]
pub(super) struct SettingsQuery {
    /// The place to explain; if absent, the response is the whole tree of explicitly set values.
    path: Option<String>,
    /// The only option to explain; all if absent.
    option: Option<String>,
}

impl StateData for SettingsQuery {}

impl StaticResponseExtender for SettingsQuery {
    type ResBody = Body;
    fn extend(_state: &mut State, _response: &mut Response<Body>) {}
}

/// Response to `GET /settings`.
#[derive(Serialize)]
#[serde(untagged)]
enum SettingsBody {
    Tree {
        revision: Revision,
        /// The values set at each place, without inherited ones.
        tree: BTreeMap<SettingsPath, BTreeMap<SettingsOption, Value>>,
    },
    Place {
        revision: Revision,
        path: SettingsPath,
        /// The places directly below.
        children: Vec<SettingsPath>,
        /// The effective values at the place and their origins.
        options: Vec<ExplainedValue>,
    },
}

/// Response to `GET /settings/history`.
#[derive(Serialize)]
struct HistoryBody {
    revision: Revision,
    /// The latest edits, oldest first.
    edits: Vec<AppliedEdit>,
}

/// Handles `GET /settings`: returns the tree, or explains one place.
pub(super) async fn get_settings(state: &mut State) -> SimpleHandlerResult {
    let query = SettingsQuery::take_from(state);
    let document = document(state);
    answer(document.and_then(|document| match query.path {
        None => Ok(whole_tree(&document)),
        Some(path) => explain(&document, &path, query.option.as_deref()),
    }))
}

/// Handles `GET /settings/history`: returns the latest edits.
pub(super) async fn get_history(state: &mut State) -> SimpleHandlerResult {
    let document = document(state);
    answer(document.map(|document| HistoryBody {
        revision: document.revision(),
        edits: document.history().cloned().collect(),
    }))
}

/// The current settings of this node.
pub(super) fn document(state: &State) -> Result<std::sync::Arc<SettingsDocument>, AdminError> {
    AdminContext::borrow_from(state)
        .configuration
        .document()
        .ok_or_else(|| AdminError::new(ResultCode::NotReady))
}

fn whole_tree(document: &SettingsDocument) -> SettingsBody {
    SettingsBody::Tree {
        revision: document.revision(),
        tree: explicit_values(document.tree()),
    }
}

fn explicit_values(tree: &SettingsTree) -> BTreeMap<SettingsPath, BTreeMap<SettingsOption, Value>> {
    tree.places()
        .map(|(path, options)| (path.clone(), options.clone()))
        .collect()
}

fn explain(
    document: &SettingsDocument,
    path: &str,
    option: Option<&str>,
) -> Result<SettingsBody, AdminError> {
    let path: SettingsPath = path
        .parse()
        .map_err(|error: stairward_settings::InvalidPath| {
            AdminError::bad_request(error.to_string())
        })?;
    let option = option
        .map(SettingsOption::from_name)
        .transpose()
        .map_err(|error| AdminError::bad_request(error.to_string()))?;
    let tree = document.tree();
    let mut options = tree
        .explain(&path)
        .ok_or_else(|| AdminError::not_found(format!("there is no place {path}")))?;
    options.retain(|value| option.is_none_or(|requested| value.option == requested));
    Ok(SettingsBody::Place {
        revision: document.revision(),
        children: tree.children(&path).cloned().collect(),
        path,
        options,
    })
}
