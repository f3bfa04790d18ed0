//! `SET`, `RESET` and `SHOW` of `stairward.*` parameters, which are handled by the edge.

use stairward_session::{Hints, SessionChange, SessionHints};
use stairward_types::ResultCode;

use super::error::EdgeError;

const PREFIX: &str = "stairward.";
/// The parameter that contains the session token.
pub(super) const TOKEN_PARAMETER: &str = "stairward.session_token";

/// Whether the change concerns a hint.
pub(super) fn is_hint_change(change: &SessionChange) -> bool {
    match change {
        SessionChange::Set { name, .. } | SessionChange::Reset { name } => name.starts_with(PREFIX),
        _ => false,
    }
}

/// Validates a change to a hint without applying it.
///
/// # Errors
/// [`ResultCode::InvalidHint`] if the hint is unknown or its value is invalid.
pub(super) fn validate(change: &SessionChange) -> Result<(), EdgeError> {
    if !is_hint_change(change) {
        return Ok(());
    }
    apply(change, &mut SessionHints::new(Hints::default()))
}

/// Applies a change to a hint; other changes are ignored.
///
/// # Errors
/// As for [`validate`].
pub(super) fn apply(change: &SessionChange, hints: &mut SessionHints) -> Result<(), EdgeError> {
    let applied = match change {
        SessionChange::Set { name, value, local } if name.starts_with(PREFIX) => {
            hints.set(name, &unquote(value), *local)
        }
        SessionChange::Reset { name } if name.starts_with(PREFIX) => hints.reset(name),
        SessionChange::ResetAll | SessionChange::DiscardAll => {
            hints.reset_all();
            Ok(())
        }
        _ => Ok(()),
    };
    applied.map_err(|error| EdgeError::with_explanation(ResultCode::InvalidHint, error))
}

/// The value of a quoted SQL literal, or the text itself if it isn't quoted.
fn unquote(value: &str) -> String {
    value
        .strip_prefix('\'')
        .and_then(|rest| rest.strip_suffix('\''))
        .map_or_else(|| value.to_owned(), |inner| inner.replace("''", "'"))
}

/// Whether a simple query is `SHOW` of the session token.
pub(super) fn is_show_token(text: &str) -> bool {
    let text = text.trim().trim_end_matches(';').trim_end();
    let mut words = text.split_whitespace();
    let is_show = words
        .next()
        .is_some_and(|word| word.eq_ignore_ascii_case("show"));
    let is_token = words
        .next()
        .is_some_and(|word| word.eq_ignore_ascii_case(TOKEN_PARAMETER));
    is_show && is_token && words.next().is_none()
}
