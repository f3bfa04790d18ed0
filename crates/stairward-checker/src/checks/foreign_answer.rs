//! Each caller gets one complete answer, and it is the answer to its own request.

use crate::event::{Outcome, RequestId};
use crate::index::{Index, Request, RequestEnd};
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    for (&request_id, request) in &index.requests {
        check_answer_count(request_id, request, report);
        for end in &request.ends {
            if end.outcome == Outcome::Answered {
                report.observe(Invariant::ForeignAnswer);
                check_answer(request_id, end, report);
            }
        }
    }
}

fn check_answer_count(request_id: RequestId, request: &Request<'_>, report: &mut Report) {
    if request.ends.len() > 1 {
        let text = format!(
            "request {request_id} was answered {} times",
            request.ends.len()
        );
        report.violate(Invariant::ForeignAnswer, vec![request_id], text);
    }
}

fn check_answer(request_id: RequestId, end: &RequestEnd<'_>, report: &mut Report) {
    if let Some(echo) = end.echo
        && echo != request_id
    {
        let text = format!("request {request_id} got the answer to request {echo}");
        report.violate(Invariant::ForeignAnswer, vec![request_id, echo], text);
    }
    if let Some(expected) = end.rows_expected
        && expected != end.rows_received
    {
        let text = format!(
            "request {request_id} got {} of the {expected} rows of its answer",
            end.rows_received
        );
        report.violate(Invariant::ForeignAnswer, vec![request_id], text);
    }
}
