//! An acknowledged write is in its group's surviving log and was committed by the newest primary.

use std::collections::BTreeMap;

use crate::event::{Outcome, RequestId};
use crate::index::{Commit, Index, Request};
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    let keys = requests_by_key(index);
    for (&number, request) in &index.requests {
        let acknowledged = request
            .ends
            .iter()
            .any(|end| end.outcome == Outcome::Answered);
        if acknowledged && !request.writes.is_empty() {
            report.observe(Invariant::ReplacedPrimaryAck);
            check_request(index, &keys, number, request, report);
        }
    }
}

type RequestsByKey<'a> = BTreeMap<&'a str, Vec<RequestId>>;

fn requests_by_key<'a>(index: &Index<'a>) -> RequestsByKey<'a> {
    let mut keys = RequestsByKey::new();
    for (&number, request) in &index.requests {
        if let Some(key) = request.request_key {
            keys.entry(key).or_default().push(number);
        }
    }
    keys
}

fn check_request(
    index: &Index<'_>,
    keys: &RequestsByKey<'_>,
    number: RequestId,
    request: &Request<'_>,
    report: &mut Report,
) {
    let same_key = request.request_key.and_then(|key| keys.get(key));
    let numbers = same_key.cloned().unwrap_or_else(|| vec![number]);
    let commits: Vec<&Commit> = numbers
        .iter()
        .flat_map(|&number| index.commits_of(number))
        .collect();
    let is_good = |commit: &&&Commit| index.survives(commit) && !index.was_replaced(commit);
    if commits.iter().any(|commit| is_good(&commit)) {
        return;
    }
    let text = match commits.last() {
        None => format!("request {number} was acknowledged, but no back end committed it"),
        Some(commit) => format!(
            "request {number} was acknowledged, but its commit in term {} at {} of group {} was \
             made by a replaced primary or is lost",
            commit.term, commit.position, request.group
        ),
    };
    report.violate(Invariant::ReplacedPrimaryAck, vec![number], text);
}
