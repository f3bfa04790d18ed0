//! The first part of a stream: from `Open` to a lent connection, or to a refusal.

use std::sync::Arc;
use std::time::Duration;

use stairward_pool::pool::ConnectionRequest;
use stairward_protocol::stream::{EdgeMessage, Open, WireAccess};
use stairward_types::{AccessClass, ResultCode, ServiceName, Term};

use super::backend::{Backend, Grant, Refusal};
use crate::peer::OwnerStream;

/// What an edge said besides granting credit while its request waited.
pub(super) enum Waited {
    /// A connection was lent.
    Admitted(Grant),
    /// The request was refused, or cancelled by the caller.
    Refused(Refusal),
    /// The edge is gone or has let go.
    EdgeGone,
}

/// Waits for a connection while listening to the edge. `credit` grows by what the edge grants.
pub(super) async fn wait_for_connection(
    backend: &Arc<Backend>,
    stream: &mut OwnerStream,
    open: &Open,
    credit: &mut i64,
) -> Waited {
    if !backend.context.trusts_settings() {
        return Waited::Refused(Refusal::new(ResultCode::ConfigurationTooOld));
    }
    let Some(request) = connection_request(backend, open) else {
        return Waited::Refused(Refusal::new(ResultCode::ProtocolViolation));
    };
    let number = request.request;
    let mut answer = backend.request(request);
    loop {
        let message = tokio::select! {
            granted = &mut answer => return granted_or_refused(backend, granted),
            message = stream.receive() => message,
        };
        let end = match message {
            Some(EdgeMessage::Credit { bytes }) => {
                *credit += i64::from(bytes);
                continue;
            }
            Some(EdgeMessage::Cancel) => {
                Waited::Refused(Refusal::new(ResultCode::CancelledBeforeSend))
            }
            // A second batch before the first was admitted is against the protocol.
            Some(EdgeMessage::Open(_) | EdgeMessage::Batch(_)) => {
                Waited::Refused(Refusal::new(ResultCode::ProtocolViolation))
            }
            Some(EdgeMessage::Abandon) | None => Waited::EdgeGone,
        };
        backend.withdraw(number, &mut answer);
        return end;
    }
}

fn granted_or_refused(
    backend: &Arc<Backend>,
    granted: Result<Result<Grant, Refusal>, tokio::sync::oneshot::error::RecvError>,
) -> Waited {
    let grant = match granted {
        Ok(Ok(grant)) => grant,
        Ok(Err(refusal)) => return Waited::Refused(refusal),
        Err(_) => return Waited::Refused(Refusal::new(ResultCode::NotOwner)),
    };
    match objection(backend) {
        None => Waited::Admitted(grant),
        Some(code) => {
            backend.give_back(grant, stairward_pool::pool::ReturnedState::Idle);
            Waited::Refused(Refusal::new(code))
        }
    }
}

/// Why a connection just lent must not be used after all. The node may have been paused since the
/// pool decided, so what depends on the clock is checked once more.
fn objection(backend: &Backend) -> Option<ResultCode> {
    if !backend.lease_is_held() {
        Some(backend.refusal_without_lease())
    } else if !backend.context.trusts_settings() {
        Some(ResultCode::ConfigurationTooOld)
    } else {
        None
    }
}

fn connection_request(backend: &Backend, open: &Open) -> Option<ConnectionRequest> {
    let service = ServiceName::new(open.service.as_str()).ok()?;
    let settings = backend.context.cluster.settings();
    let weight = settings.services.get(&service).map_or(1, |s| s.weight);
    let time_left = Duration::from_millis(u64::from(open.deadline_milliseconds));
    Some(ConnectionRequest {
        request: backend.next_request(),
        service,
        weight,
        access: match open.access {
            WireAccess::Read => AccessClass::Read,
            WireAccess::Write => AccessClass::Write,
        },
        floor: open.floor.into(),
        expected_term: Term(open.expected_term),
        deadline: backend.now() + time_left,
        freshness_wait: Duration::from_millis(u64::from(open.freshness_wait_milliseconds)),
    })
}
