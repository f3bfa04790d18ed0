//! A back end marked as leaving is given no new transactions after the grace period.

use std::collections::BTreeMap;

use stairward_types::{AdminState, BackendId, Duration, Time};

use crate::event::HistoryEvent;
use crate::index::Index;
use crate::recorder::History;
use crate::report::{Invariant, Report};

/// The operator's marks on each back end, in the order of time.
type Marks<'a> = BTreeMap<&'a BackendId, Vec<(Time, AdminState)>>;

pub(super) fn check(history: &History, index: &Index<'_>, grace: Duration, report: &mut Report) {
    let marks = marks(history);
    for (&(backend, transaction_id), transaction) in &index.transactions {
        let (Some(marks), Some(&first_request)) =
            (marks.get(backend), transaction.requests.first())
        else {
            continue;
        };
        report.observe(Invariant::LeavingGotWork);
        let Some(leaving_since) = leaving_since(marks, transaction.started_at) else {
            continue;
        };
        if transaction.started_at > leaving_since + grace {
            let text = format!(
                "back end {backend} began transaction {transaction_id} for request {first_request} \
                 {:?} after it was marked as leaving",
                transaction.started_at.since(leaving_since)
            );
            report.violate(Invariant::LeavingGotWork, vec![first_request], text);
        }
    }
}

fn marks(history: &History) -> Marks<'_> {
    let mut marks = Marks::new();
    for record in &history.records {
        if let HistoryEvent::BackendMarked { backend, state } = &record.event {
            marks.entry(backend).or_default().push((record.at, *state));
        }
    }
    marks
}

/// When the back end was marked as leaving, if it still bears that mark at time `at`.
fn leaving_since(marks: &[(Time, AdminState)], at: Time) -> Option<Time> {
    let mut since = None;
    for &(marked_at, state) in marks.iter().take_while(|(marked_at, _)| *marked_at <= at) {
        since = match state {
            AdminState::Leaving => since.or(Some(marked_at)),
            AdminState::Joining | AdminState::Active => None,
        };
    }
    since
}
