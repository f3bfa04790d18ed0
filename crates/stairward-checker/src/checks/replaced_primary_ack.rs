//! An acknowledged write is in its group's surviving log and was committed by the primary of the
//! latest term at that time.

use std::collections::BTreeMap;

use crate::event::{Outcome, RequestId};
use crate::index::{Commit, Index, Request};
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    let keys = requests_by_key(index);
    for (&request_id, request) in &index.requests {
        let acknowledged = request
            .ends
            .iter()
            .any(|end| end.outcome == Outcome::Answered);
        if acknowledged && !request.writes.is_empty() {
            report.observe(Invariant::ReplacedPrimaryAck);
            check_request(index, &keys, request_id, request, report);
        }
    }
}

/// Requests grouped by request key.
type RequestsByKey<'a> = BTreeMap<&'a str, Vec<RequestId>>;

fn requests_by_key<'a>(index: &Index<'a>) -> RequestsByKey<'a> {
    let mut keys = RequestsByKey::new();
    for (&request_id, request) in &index.requests {
        if let Some(key) = request.request_key {
            keys.entry(key).or_default().push(request_id);
        }
    }
    keys
}

/// Since a request key runs at most once, a commit by any request with the same key counts for this
/// one.
fn check_request(
    index: &Index<'_>,
    keys: &RequestsByKey<'_>,
    request_id: RequestId,
    request: &Request<'_>,
    report: &mut Report,
) {
    let same_key = request.request_key.and_then(|key| keys.get(key));
    let attempts = same_key.cloned().unwrap_or_else(|| vec![request_id]);
    let commits: Vec<&Commit> = attempts
        .iter()
        .flat_map(|&request_id| index.commits_of(request_id))
        .collect();
    let is_valid = |commit: &&&Commit| index.survives(commit) && !index.was_replaced(commit);
    if commits.iter().any(|commit| is_valid(&commit)) {
        return;
    }
    let text = match commits.last() {
        None => format!("request {request_id} was acknowledged, but no back end committed it"),
        Some(commit) => format!(
            "request {request_id} was acknowledged, but its commit in term {} at position {} of \
             group {} was made by a replaced primary or is lost",
            commit.term, commit.position, request.group
        ),
    };
    report.violate(Invariant::ReplacedPrimaryAck, vec![request_id], text);
}
