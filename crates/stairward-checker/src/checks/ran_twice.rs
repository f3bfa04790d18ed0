//! A request that is not repeatable is committed at most once, and so is a request key.

use std::collections::BTreeMap;

use crate::event::{CallerTransactionKind, RequestId};
use crate::index::Index;
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    check_requests(index, report);
    check_keys(index, report);
}

/// A request without a key must not be committed twice at all, so commits in an abandoned log count
/// too.
fn check_requests(index: &Index<'_>, report: &mut Report) {
    for (&request_id, request) in &index.requests {
        let may_repeat = request.repeatable || request.request_key.is_some();
        if may_repeat || request.kind == CallerTransactionKind::Read {
            continue;
        }
        report.observe(Invariant::RanTwice);
        let commits = index.commits_of(request_id).count();
        if commits > 1 {
            let text =
                format!("request {request_id} is not repeatable and was committed {commits} times");
            report.violate(Invariant::RanTwice, vec![request_id], text);
        }
    }
}

/// A key's row in the request-key ledger is lost together with the log that holds it, after which
/// the request may run again. Hence only commits in the surviving log count.
fn check_keys(index: &Index<'_>, report: &mut Report) {
    let mut keys: BTreeMap<&str, Vec<RequestId>> = BTreeMap::new();
    for (&request_id, request) in &index.requests {
        if let Some(key) = request.request_key {
            keys.entry(key).or_default().push(request_id);
        }
    }
    for (key, requests) in keys {
        report.observe(Invariant::RanTwice);
        let commits = requests
            .iter()
            .flat_map(|&request_id| index.commits_of(request_id))
            .filter(|commit| index.survives(commit))
            .count();
        if commits > 1 {
            let text = format!("request key {key} was committed {commits} times");
            report.violate(Invariant::RanTwice, requests, text);
        }
    }
}
