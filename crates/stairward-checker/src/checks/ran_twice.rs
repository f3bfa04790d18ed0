//! A request that is not repeatable runs at most once, and so does a request key.

use std::collections::BTreeMap;

use crate::event::{CallerTransactionKind, RequestId};
use crate::index::Index;
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    check_requests(index, report);
    check_keys(index, report);
}

/// Without a key, every commit counts, also one in a log that the group abandoned.
fn check_requests(index: &Index<'_>, report: &mut Report) {
    for (&number, request) in &index.requests {
        let may_repeat = request.repeatable || request.request_key.is_some();
        if may_repeat || request.kind == CallerTransactionKind::Read {
            continue;
        }
        report.observe(Invariant::RanTwice);
        let commits = index.commits_of(number).count();
        if commits > 1 {
            let text =
                format!("request {number} is not repeatable and was committed {commits} times");
            report.violate(Invariant::RanTwice, vec![number], text);
        }
    }
}

/// The ledger row of a key is lost with the log that holds it, so only surviving commits count.
fn check_keys(index: &Index<'_>, report: &mut Report) {
    let mut keys: BTreeMap<&str, Vec<RequestId>> = BTreeMap::new();
    for (&number, request) in &index.requests {
        if let Some(key) = request.request_key {
            keys.entry(key).or_default().push(number);
        }
    }
    for (key, requests) in keys {
        report.observe(Invariant::RanTwice);
        let commits = requests
            .iter()
            .flat_map(|&number| index.commits_of(number))
            .filter(|commit| index.survives(commit))
            .count();
        if commits > 1 {
            let text = format!("request key {key} was committed {commits} times");
            report.violate(Invariant::RanTwice, requests, text);
        }
    }
}
