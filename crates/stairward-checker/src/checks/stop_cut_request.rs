//! A planned stop of a proxy interrupts no request in flight.

use stairward_types::{NodeId, ResultCode, Time};

use crate::event::{HistoryEvent, Outcome, RequestId};
use crate::index::{Index, Request, RequestEnd};
use crate::recorder::History;
use crate::report::{Invariant, Report};

/// A planned stop of a proxy; `ended_at` is [`Time::NEVER`] if the history does not record its end.
struct Stop {
    proxy: NodeId,
    began_at: Time,
    ended_at: Time,
    /// Whether the proxy was neither killed nor under a fault during the stop; only then is the
    /// stop checked.
    undisturbed: bool,
}

pub(super) fn check(history: &History, index: &Index<'_>, report: &mut Report) {
    for stop in planned_stops(history) {
        for (&request_id, request) in &index.requests {
            check_request(&stop, request_id, request, report);
        }
    }
}

fn planned_stops(history: &History) -> Vec<Stop> {
    let mut stops = Vec::new();
    for (record_index, record) in history.records.iter().enumerate() {
        if let HistoryEvent::StopBegan { proxy } = record.event {
            stops.push(planned_stop(history, record_index, proxy, record.at));
        }
    }
    stops
}

fn planned_stop(history: &History, record_index: usize, proxy: NodeId, began_at: Time) -> Stop {
    let mut stop = Stop {
        proxy,
        began_at,
        ended_at: Time::NEVER,
        undisturbed: !is_faulty_at(history, record_index, proxy),
    };
    for record in &history.records[record_index..] {
        match record.event {
            HistoryEvent::StopEnded { proxy: ended } if ended == proxy => {
                stop.ended_at = record.at;
                break;
            }
            HistoryEvent::ProxyKilled { proxy: other }
            | HistoryEvent::ProxyFaultBegan { proxy: other }
                if other == proxy =>
            {
                stop.undisturbed = false;
            }
            _ => {}
        }
    }
    stop
}

/// Whether a fault isolates the proxy from its peers at this place in the history.
fn is_faulty_at(history: &History, record_index: usize, proxy: NodeId) -> bool {
    let last = history.records[..record_index]
        .iter()
        .rev()
        .find_map(|record| match record.event {
            HistoryEvent::ProxyFaultBegan { proxy: other } if other == proxy => Some(true),
            HistoryEvent::ProxyFaultEnded { proxy: other } if other == proxy => Some(false),
            _ => None,
        });
    last.unwrap_or(false)
}

fn check_request(stop: &Stop, request_id: RequestId, request: &Request<'_>, report: &mut Report) {
    let end = request.ends.first();
    let sent_before = request.sent_at < stop.began_at;
    let ended_before = end.is_some_and(|end| end.at < stop.began_at);
    let involves_proxy = request.proxy == stop.proxy || request.last_owner == Some(stop.proxy);
    if !stop.undisturbed || !sent_before || ended_before || !involves_proxy {
        return;
    }
    report.observe(Invariant::StopCutRequest);
    if let Some(reason) = interruption_reason(stop, request, end) {
        let text = format!(
            "request {request_id} was in flight when the stop of proxy {} began, and {reason}",
            stop.proxy
        );
        report.violate(Invariant::StopCutRequest, vec![request_id], text);
    }
}

/// How the stop interrupted a request, if it did. The caller's own proxy must not leave the request
/// without an end, close its connection or refuse it because of the stop; an owner must not leave it
/// without an answer.
fn interruption_reason(
    stop: &Stop,
    request: &Request<'_>,
    end: Option<&RequestEnd<'_>>,
) -> Option<&'static str> {
    let at_stopping_proxy = request.proxy == stop.proxy;
    let Some(end) = end else {
        let has_exited = stop.ended_at != Time::NEVER;
        return (at_stopping_proxy && has_exited).then_some("never ended");
    };
    let has_code = |code: ResultCode| end.code == Some(code.number());
    if at_stopping_proxy && end.outcome == Outcome::ConnectionLost {
        return Some("its connection was closed");
    }
    if at_stopping_proxy && has_code(ResultCode::ProxyStopping) {
        return Some("it was refused because of the stop");
    }
    let owner_stopped = request.last_owner == Some(stop.proxy);
    if owner_stopped && has_code(ResultCode::OwnerLostAfterSend) {
        return Some("its owner stopped without answering");
    }
    None
}
