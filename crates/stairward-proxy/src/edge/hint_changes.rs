//! `SET`, `RESET` and `SHOW` of `stairward.*` parameters, which the edge keeps itself.

use stairward_session::{Hints, SessionChange, SessionHints};
use stairward_types::ResultCode;

use super::error::EdgeError;

const PREFIX: &str = "stairward.";
/// The parameter that reports a session's token.
pub(super) const TOKEN_PARAMETER: &str = "stairward.session_token";

/// Whether a change is about a hint.
pub(super) fn is_hint_change(change: &SessionChange) -> bool {
    match change {
        SessionChange::Set { name, .. } | SessionChange::Reset { name } => name.starts_with(PREFIX),
        _ => false,
    }
}

/// Checks a change of a hint without making it.
///
/// # Errors
/// A numbered error for an unknown hint or a bad value.
pub(super) fn validate(change: &SessionChange) -> Result<(), EdgeError> {
    if !is_hint_change(change) {
        return Ok(());
    }
    apply(change, &mut SessionHints::new(Hints::default()))
}

/// Makes a change of a hint; other changes are passed over.
///
/// # Errors
/// As for [`check`].
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

/// The value of a quoted SQL literal, or the text itself.
fn unquote(value: &str) -> String {
    value
        .strip_prefix('\'')
        .and_then(|rest| rest.strip_suffix('\''))
        .map_or_else(|| value.to_owned(), |inner| inner.replace("''", "'"))
}

/// Whether a simple query asks for the session's token.
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
