//! Each back-end transaction contains statements of one request only.

use crate::index::Index;
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    for (&(backend, transaction_id), transaction) in &index.transactions {
        if transaction.requests.is_empty() {
            continue;
        }
        report.observe(Invariant::MixedTransactions);
        if transaction.requests.len() > 1 {
            let requests: Vec<_> = transaction.requests.iter().copied().collect();
            let text = format!(
                "transaction {transaction_id} of back end {backend} contains statements of \
                 requests {requests:?}"
            );
            report.violate(Invariant::MixedTransactions, requests, text);
        }
    }
}
