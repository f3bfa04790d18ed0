//! A request refused as not run was neither committed nor, if it only reads, completed.

use crate::event::{CallerTransactionKind, Outcome, RequestId};
use crate::index::{BackendTransaction, Index};
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    for (&request_id, request) in &index.requests {
        let refused = request
            .ends
            .iter()
            .any(|end| end.outcome == Outcome::NotRun);
        if !refused {
            continue;
        }
        report.observe(Invariant::NotRunRan);
        let ran = index
            .transactions_of(request_id)
            .any(|transaction| has_run(transaction, request.kind));
        if ran {
            report_violation(request_id, report);
        }
    }
}

/// Whether a transaction took effect: it was committed, or it is an autocommit read that was not
/// rolled back. Such a read commits no writes, so no commit is recorded for it.
fn has_run(transaction: &BackendTransaction, kind: CallerTransactionKind) -> bool {
    let is_autocommit_read = kind == CallerTransactionKind::Read && transaction.autocommit;
    transaction.commit.is_some() || (is_autocommit_read && !transaction.rolled_back)
}

fn report_violation(request_id: RequestId, report: &mut Report) {
    let text = format!("request {request_id} was refused as not run, but a back end ran it");
    report.violate(Invariant::NotRunRan, vec![request_id], text);
}
