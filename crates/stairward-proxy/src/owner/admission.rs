//! Admission of a stream: from `Open` to a granted connection or a refusal.

use std::sync::Arc;
use std::time::Duration;

use stairward_pool::pool::ConnectionRequest;
use stairward_protocol::stream::{EdgeMessage, Open, WireAccess};
use stairward_types::{AccessClass, ResultCode, ServiceName, Term};

use super::backend::{Backend, Grant, Refusal};
use crate::peer::OwnerStream;

/// How the wait for a connection ended.
pub(super) enum AdmissionOutcome {
    /// A connection was granted.
    Admitted(Grant),
    /// The request was refused, or cancelled by the caller.
    Refused(Refusal),
    /// The edge disconnected or abandoned the stream.
    EdgeClosed,
}

/// Waits for a connection while receiving messages from the edge. Credit granted meanwhile is added
/// to `credit`.
pub(super) async fn wait_for_connection(
    backend: &Arc<Backend>,
    stream: &mut OwnerStream,
    open: &Open,
    credit: &mut i64,
) -> AdmissionOutcome {
    if !backend.context.has_trusted_settings() {
        return AdmissionOutcome::Refused(Refusal::new(ResultCode::ConfigurationTooOld));
    }
    let Some(request) = connection_request(backend, open) else {
        return AdmissionOutcome::Refused(Refusal::new(ResultCode::ProtocolViolation));
    };
    let number = request.request;
    let mut answer = backend.request(request);
    loop {
        let message = tokio::select! {
            granted = &mut answer => return verify_grant(backend, granted),
            message = stream.receive() => message,
        };
        let end = match message {
            Some(EdgeMessage::Credit { bytes }) => {
                *credit += i64::from(bytes);
                continue;
            }
            Some(EdgeMessage::Cancel) => {
                AdmissionOutcome::Refused(Refusal::new(ResultCode::CancelledBeforeSend))
            }
            // An edge must not send a second batch before the first is admitted.
            Some(EdgeMessage::Open(_) | EdgeMessage::Batch(_)) => {
                AdmissionOutcome::Refused(Refusal::new(ResultCode::ProtocolViolation))
            }
            Some(EdgeMessage::Abandon) | None => AdmissionOutcome::EdgeClosed,
        };
        backend.cancel_request(number, &mut answer);
        return end;
    }
}

fn verify_grant(
    backend: &Arc<Backend>,
    granted: Result<Result<Grant, Refusal>, tokio::sync::oneshot::error::RecvError>,
) -> AdmissionOutcome {
    let grant = match granted {
        Ok(Ok(grant)) => grant,
        Ok(Err(refusal)) => return AdmissionOutcome::Refused(refusal),
        Err(_) => return AdmissionOutcome::Refused(Refusal::new(ResultCode::NotOwner)),
    };
    match admission_refusal(backend) {
        None => AdmissionOutcome::Admitted(grant),
        Some(code) => {
            backend.return_connection(grant, stairward_pool::pool::ReturnedState::Idle);
            AdmissionOutcome::Refused(Refusal::new(code))
        }
    }
}

/// Why a connection just granted must not be used. The process may have been paused since the pool
/// decided, so the checks that depend on the clock are repeated.
fn admission_refusal(backend: &Backend) -> Option<ResultCode> {
    if !backend.lease_is_held() {
        Some(backend.refusal_without_lease())
    } else if !backend.context.has_trusted_settings() {
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
