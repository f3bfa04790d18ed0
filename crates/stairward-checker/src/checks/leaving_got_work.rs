//! A leaving back end gets no new work once the limit has passed.

use std::collections::BTreeMap;

use stairward_types::{AdminState, BackendId, Duration, Time};

use crate::event::HistoryEvent;
use crate::index::Index;
use crate::recorder::History;
use crate::report::{Invariant, Report};

type Marks<'a> = BTreeMap<&'a BackendId, Vec<(Time, AdminState)>>;

pub(super) fn check(history: &History, index: &Index<'_>, limit: Duration, report: &mut Report) {
    let marks = marks(history);
    for (&(backend, transaction), known) in &index.transactions {
        let (Some(marks), Some(&first)) = (marks.get(backend), known.requests.first()) else {
            continue;
        };
        report.observe(Invariant::LeavingGotWork);
        let Some(leaving_since) = leaving_since(marks, known.started_at) else {
            continue;
        };
        if known.started_at > leaving_since + limit {
            let text = format!(
                "back end {backend} began transaction {transaction} for request {first} {:?} \
                 after it was marked as leaving",
                known.started_at.since(leaving_since)
            );
            report.violate(Invariant::LeavingGotWork, vec![first], text);
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

/// When the back end was marked as leaving, if that is its mark at the moment given.
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
