//! A request refused as not run left no effect and was not run to its end.

use crate::event::{CallerTransactionKind, Outcome, RequestId};
use crate::index::{BackendTransaction, Index};
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    for (&number, request) in &index.requests {
        let refused = request
            .ends
            .iter()
            .any(|end| end.outcome == Outcome::NotRun);
        if !refused {
            continue;
        }
        report.observe(Invariant::NotRunRan);
        let ran = index
            .transactions_of(number)
            .any(|transaction| has_run(transaction, request.kind));
        if ran {
            violate(number, report);
        }
    }
}

/// A committed transaction has run. So has a read of its own, which has nothing to commit.
fn has_run(transaction: &BackendTransaction, kind: CallerTransactionKind) -> bool {
    let read_to_its_end = kind == CallerTransactionKind::Read && transaction.autocommit;
    transaction.commit.is_some() || (read_to_its_end && !transaction.rolled_back)
}

fn violate(number: RequestId, report: &mut Report) {
    let text = format!("request {number} was refused as not run, but a back end ran it");
    report.violate(Invariant::NotRunRan, vec![number], text);
}
