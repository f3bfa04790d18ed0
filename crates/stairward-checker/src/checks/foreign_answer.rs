//! Each caller gets the whole answer to its own request, once.

use crate::event::{Outcome, RequestId};
use crate::index::{Index, Request, RequestEnd};
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    for (&number, request) in &index.requests {
        check_number_of_answers(number, request, report);
        for end in &request.ends {
            if end.outcome == Outcome::Answered {
                report.observe(Invariant::ForeignAnswer);
                check_answer(number, end, report);
            }
        }
    }
}

fn check_number_of_answers(number: RequestId, request: &Request<'_>, report: &mut Report) {
    if request.ends.len() > 1 {
        let text = format!("request {number} was answered {} times", request.ends.len());
        report.violate(Invariant::ForeignAnswer, vec![number], text);
    }
}

fn check_answer(number: RequestId, end: &RequestEnd<'_>, report: &mut Report) {
    if let Some(echo) = end.echo
        && echo != number
    {
        let text = format!("request {number} got the answer to request {echo}");
        report.violate(Invariant::ForeignAnswer, vec![number, echo], text);
    }
    if let Some(expected) = end.rows_expected
        && expected != end.rows_received
    {
        let text = format!(
            "request {number} got {} rows of an answer of {expected}",
            end.rows_received
        );
        report.violate(Invariant::ForeignAnswer, vec![number], text);
    }
}
