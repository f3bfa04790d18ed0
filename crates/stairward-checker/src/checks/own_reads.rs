//! Read-your-writes consistency: a session's reads see its own acknowledged writes.

use std::collections::BTreeMap;

use crate::event::{Outcome, RequestId, RowSeen, SessionId};
use crate::index::{Index, Request, RequestEnd};
use crate::report::{Invariant, Report};

/// An acknowledged write of a session to one key.
struct OwnWrite {
    request: RequestId,
    version: u64,
    /// Index in the history of the record that acknowledged the write. Only reads sent after it
    /// must see the write.
    acknowledged_index: usize,
}

type OwnWrites<'a> = BTreeMap<(SessionId, &'a str), Vec<OwnWrite>>;

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    let writes = acknowledged_writes(index);
    for (&request_id, request) in &index.requests {
        for end in successful_answers(request) {
            for row in end.reads {
                check_row(&writes, request_id, request, row, report);
            }
        }
    }
}

fn successful_answers<'a, 'b>(
    request: &'b Request<'a>,
) -> impl Iterator<Item = &'b RequestEnd<'a>> {
    request
        .ends
        .iter()
        .filter(|end| end.outcome == Outcome::Answered)
}

fn acknowledged_writes<'a>(index: &Index<'a>) -> OwnWrites<'a> {
    let mut writes = OwnWrites::new();
    for (&request_id, request) in &index.requests {
        let Some(end) = successful_answers(request).next() else {
            continue;
        };
        for row in request.writes {
            let write = OwnWrite {
                request: request_id,
                version: row.version,
                acknowledged_index: end.index,
            };
            let key = (request.session, row.key.as_str());
            writes.entry(key).or_default().push(write);
        }
    }
    writes
}

fn check_row(
    writes: &OwnWrites<'_>,
    request_id: RequestId,
    request: &Request<'_>,
    row: &RowSeen,
    report: &mut Report,
) {
    let newest = writes
        .get(&(request.session, row.key.as_str()))
        .into_iter()
        .flatten()
        .filter(|write| write.acknowledged_index < request.sent_index)
        .max_by_key(|write| write.version);
    let Some(newest) = newest else {
        return;
    };
    report.observe(Invariant::OwnReads);
    if row.version < newest.version {
        let text = format!(
            "session {} read version {} of {} in request {request_id}, although its request {} \
             had written version {}",
            request.session, row.version, row.key, newest.request, newest.version
        );
        report.violate(Invariant::OwnReads, vec![newest.request, request_id], text);
    }
}
