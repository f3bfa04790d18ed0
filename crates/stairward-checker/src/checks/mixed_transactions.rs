//! A back end's transaction holds statements of one request only.

use crate::index::Index;
use crate::report::{Invariant, Report};

pub(super) fn check(index: &Index<'_>, report: &mut Report) {
    for (&(backend, transaction), known) in &index.transactions {
        if known.requests.is_empty() {
            continue;
        }
        report.observe(Invariant::MixedTransactions);
        if known.requests.len() > 1 {
            let requests: Vec<_> = known.requests.iter().copied().collect();
            let text = format!(
                "transaction {transaction} of back end {backend} holds statements of requests \
                 {requests:?}"
            );
            report.violate(Invariant::MixedTransactions, requests, text);
        }
    }
}
