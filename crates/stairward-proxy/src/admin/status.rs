//! Handlers for health, readiness, metrics and status.

use gotham::handler::SimpleHandlerResult;
use gotham::hyper::StatusCode;
use gotham::hyper::header::HeaderValue;
use gotham::state::{FromState as _, State};
use serde::Serialize;
use stairward_membership::configuration::{NotReadyReason, Readiness, SourceStatus};
use stairward_types::{
    BackendId, Duration, Incarnation, NodeId, RegionName, ResultCode, Revision, ZoneName,
};

use super::context::AdminContext;
use super::error::{AdminError, answer, response};
use crate::cluster::{Cluster, Member};

/// Content type of the Prometheus text format.
const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Provides a node's current activity.
pub trait StatusSource: Send + Sync + 'static {
    /// The current activity.
    fn activity(&self) -> NodeActivity;
}

/// A node's activity apart from membership and settings.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct NodeActivity {
    /// Whether a planned stop is in progress.
    pub draining: bool,
    /// Number of client sessions.
    pub sessions: usize,
    /// The back ends served by this node.
    pub backends: Vec<BackendActivity>,
}

/// A node's activity for one back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendActivity {
    /// The back end.
    pub backend: BackendId,
    /// `owner` or `standby`.
    pub role: &'static str,
    /// Whether this node holds the lease and may admit work.
    pub lease_held: bool,
    /// Whether it was reachable in the last probe.
    pub reachable: bool,
    /// Whether it was the primary in the last probe.
    pub primary: bool,
    /// Working connections in any state.
    pub connections: usize,
    /// Connections in use by requests and transactions.
    pub running: usize,
    /// Queued requests.
    pub queued: usize,
}

/// Response to `GET /status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeStatus {
    /// Node ID.
    pub node: NodeId,
    /// Incarnation of the process; a restart increases it.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it serves clients.
    pub ready: bool,
    /// Why it does not serve clients; none when it does.
    pub not_ready_reason: Option<String>,
    /// The state of its settings.
    pub settings: SettingsStatus,
    /// The members in its view, including itself.
    pub members: Vec<MemberStatus>,
    /// Its current activity.
    #[serde(flatten)]
    pub activity: NodeActivity,
}

/// The state of a node's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SettingsStatus {
    /// The current revision.
    pub revision: Revision,
    /// Time since the revision was last known to be the newest in the store, in milliseconds; none
    /// if it never was.
    pub age_ms: Option<u64>,
    /// `current`, `store_unreachable` or `cut_off`.
    pub source: &'static str,
    /// Whether this node reads the store for its region.
    pub watcher: bool,
}

/// One member of a node's membership view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// Node ID.
    pub node: NodeId,
    /// Incarnation of the process; a restart increases it.
    pub incarnation: Incarnation,
    /// Address at which it listens for peers.
    pub address: std::net::SocketAddr,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it announced a planned stop.
    pub leaving: bool,
}

/// Response to `GET /health`.
#[derive(Serialize)]
struct HealthBody {
    status: &'static str,
}

/// Response to `GET /ready` of a node that serves.
#[derive(Serialize)]
struct ReadyBody {
    ready: bool,
    revision: Revision,
}

/// Handles `GET /health`: the process is running.
pub(super) async fn get_health(_state: &mut State) -> SimpleHandlerResult {
    answer(Ok(HealthBody { status: "ok" }))
}

/// Handles `GET /ready`: whether clients are served.
pub(super) async fn get_ready(state: &mut State) -> SimpleHandlerResult {
    let context = AdminContext::borrow_from(state);
    let reason = not_ready_reason(context);
    answer(match reason {
        None => Ok(ReadyBody {
            ready: true,
            revision: context.cluster.settings().revision,
        }),
        Some((code, reason)) => Err(AdminError::with_message(code, reason)),
    })
}

/// Handles `GET /metrics`: the metrics in the Prometheus text format.
pub(super) async fn get_metrics(state: &mut State) -> SimpleHandlerResult {
    let context = AdminContext::borrow_from(state);
    let text = context.metrics.render();
    Ok(response(StatusCode::OK, PROMETHEUS_TEXT, text))
}

/// Handles `GET /status`.
pub(super) async fn get_status(state: &mut State) -> SimpleHandlerResult {
    let context = AdminContext::borrow_from(state);
    answer(Ok(node_status(context)))
}

fn node_status(context: &AdminContext) -> NodeStatus {
    let identity = &context.cluster.identity;
    let reason = not_ready_reason(context);
    NodeStatus {
        node: identity.node,
        incarnation: identity.incarnation,
        region: identity.region.clone(),
        zone: identity.zone.clone(),
        ready: reason.is_none(),
        not_ready_reason: reason.map(|(_, reason)| reason),
        settings: settings_status(context),
        members: member_statuses(&context.cluster),
        activity: context.status.activity(),
    }
}

fn settings_status(context: &AdminContext) -> SettingsStatus {
    let status = context.configuration.status();
    SettingsStatus {
        revision: status.revision,
        age_ms: status.source_age.map(as_whole_milliseconds),
        source: source_name(status.source),
        watcher: status.is_watcher,
    }
}

fn member_statuses(cluster: &Cluster) -> Vec<MemberStatus> {
    cluster
        .members()
        .members
        .iter()
        .map(member_status)
        .collect()
}

fn member_status(member: &Member) -> MemberStatus {
    MemberStatus {
        node: member.node,
        incarnation: member.incarnation,
        address: member.peer_address,
        region: member.region.clone(),
        zone: member.zone.clone(),
        leaving: member.leaving,
    }
}

fn not_ready_reason(context: &AdminContext) -> Option<(ResultCode, String)> {
    if context.status.activity().draining {
        let code = ResultCode::ProxyStopping;
        return Some((code, code.message().to_owned()));
    }
    match context.configuration.status().readiness {
        Readiness::Ready => None,
        Readiness::NotReady(reason) => Some((ResultCode::NotReady, describe(reason))),
    }
}

fn describe(reason: NotReadyReason) -> String {
    match reason {
        NotReadyReason::NoSettings => {
            "neither the platform's store nor a peer has given this node settings".to_owned()
        }
        NotReadyReason::NewerRevisionHeard { heard } => {
            format!("a peer holds the newer revision {heard}")
        }
        NotReadyReason::Unconfirmed { confirmations } => format!(
            "the platform's store has not been read since this node started, \
             and only {confirmations} serving peers have confirmed its settings"
        ),
    }
}

fn source_name(source: SourceStatus) -> &'static str {
    match source {
        SourceStatus::Current => "current",
        SourceStatus::StoreUnreachable => "store_unreachable",
        SourceStatus::CutOff => "cut_off",
    }
}

fn as_whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
