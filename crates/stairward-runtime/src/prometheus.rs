//! The node's Prometheus metrics: counters, gauges and latency histograms.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use stairward_engine::{
    Consistency, EngineStatistics, ReplyDoubt, RequestMeasurement, ZoneActivity,
};
use stairward_failover::FailoverStep;
use stairward_types::{
    AccessClass, BackendRole, OutcomeClass, ServiceName, StoreRevision, ZoneName,
};

use crate::traffic::Traffic;

/// Finished requests, by consistency, access and outcome.
const REQUESTS: &str = "stairward_requests_total";
/// Time from arrival to response in seconds, by the same labels.
const LATENCY: &str = "stairward_request_seconds";
/// Reads answered by a back end, by its role.
const READS: &str = "stairward_reads_total";
/// Failover steps, by kind.
const FAILOVER_STEPS: &str = "stairward_failover_steps_total";
/// Open sessions.
const SESSIONS: &str = "stairward_sessions";
/// Connections to back ends.
const CONNECTIONS: &str = "stairward_backend_connections";
/// Connections to back ends of an evacuated zone, by zone.
const EVACUATED_CONNECTIONS: &str = "stairward_evacuated_connections";
/// Statements in progress at back ends of an evacuated zone, by zone.
const EVACUATED_STATEMENTS: &str = "stairward_evacuated_statements";
/// Statements sent to leaving back ends, added once the back end no longer gets work.
const SENT_TO_LEAVING: &str = "stairward_statements_to_leaving_total";
/// Restarts of back ends under the same id, by service.
const BACKEND_STARTS: &str = "stairward_backend_starts_total";
/// Ignored discovery entries of back ends, by reason.
const ENTRIES_REFUSED: &str = "stairward_entries_refused_total";
/// Replies of back ends that do not answer the command that awaits one, or may not, by reason.
const REPLIES_DOUBTED: &str = "stairward_replies_doubted_total";
/// Items of the store's lists that can't be read, by kind.
const ITEMS_UNREADABLE: &str = "stairward_store_items_unreadable_total";
/// Era of the store, which rises each time the store is restored from an older copy.
const STORE_ERA: &str = "stairward_store_era";
/// Store revision of a feed's objects within the store's current era, by feed.
const FEED_REVISION: &str = "stairward_feed_revision";
/// In-sync members of synchronous services that discovery does not list.
const MISSING_IN_SYNC: &str = "stairward_in_sync_members_missing";
/// Queued requests.
const WAITING: &str = "stairward_requests_waiting";
/// Messages between nodes, by kind and direction.
const PEER_MESSAGES: &str = "stairward_peer_messages_total";
/// Bytes of messages between nodes, by kind and direction.
const PEER_BYTES: &str = "stairward_peer_bytes_total";
/// OpenedConnection connections, by purpose.
const OPENINGS: &str = "stairward_openings_total";
/// Outgoing links to other nodes, open or being opened.
const LINKS: &str = "stairward_peer_links";
/// Open connections accepted from other nodes.
const ACCEPTED: &str = "stairward_peer_connections_accepted";
/// Upper bounds of the latency histogram's buckets, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Installs the process-wide metrics recorder.
///
/// # Errors
/// When a recorder is already installed.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)?
        .install_recorder()
}

fn consistency_name(consistency: Consistency) -> &'static str {
    match consistency {
        Consistency::Primary => "primary",
        Consistency::Bounded { .. } => "bounded",
        Consistency::OwnReads { .. } => "own_reads",
    }
}

fn access_name(access: AccessClass) -> &'static str {
    match access {
        AccessClass::Read => "read",
        AccessClass::Write => "write",
    }
}

fn outcome_name(outcome: OutcomeClass) -> &'static str {
    match outcome {
        OutcomeClass::Answered => "answered",
        OutcomeClass::NotRun => "not_run",
        OutcomeClass::OutcomeUnknown => "unknown",
    }
}

/// Adds the statements sent to a back end while it was leaving.
pub(crate) fn count_sent_to_leaving(statements: u64) {
    metrics::counter!(SENT_TO_LEAVING).increment(statements);
}

/// Counts a restart of a back end under the same id.
pub(crate) fn count_backend_start(service: &ServiceName) {
    metrics::counter!(BACKEND_STARTS, "service" => service.to_string()).increment(1);
}

/// Counts an ignored discovery entry.
pub fn count_refused_entry(reason: &'static str) {
    metrics::counter!(ENTRIES_REFUSED, "reason" => reason).increment(1);
}

/// Counts a reply of a back end that does not answer the command that awaits one, or may not.
pub(crate) fn count_doubted_reply(doubt: ReplyDoubt) {
    metrics::counter!(REPLIES_DOUBTED, "reason" => doubt.name()).increment(1);
}

/// Counts unreadable items of a list.
pub fn count_unreadable_items(kind: &'static str, items: usize) {
    let items = u64::try_from(items).unwrap_or(u64::MAX);
    metrics::counter!(ITEMS_UNREADABLE, "kind" => kind).increment(items);
}

/// Sets the era of the store.
pub fn set_store_era(era: u64) {
    metrics::gauge!(STORE_ERA).set(gauge_of_number(era));
}

/// Sets the store revision of a feed's objects.
pub(crate) fn set_feed_revision(feed: &str, held: StoreRevision) {
    metrics::gauge!(FEED_REVISION, "feed" => feed.to_owned()).set(gauge_of_number(held.revision()));
}

/// Counts a finished request.
pub(crate) fn count_request(measure: &RequestMeasurement) {
    let consistency = consistency_name(measure.consistency);
    let access = access_name(measure.access);
    let outcome = outcome_name(measure.outcome);
    metrics::counter!(REQUESTS, "consistency" => consistency, "access" => access, "outcome" => outcome)
        .increment(1);
    metrics::histogram!(LATENCY, "consistency" => consistency, "access" => access, "outcome" => outcome)
        .record(measure.latency.as_secs_f64());
    let role = match measure.served_by {
        Some(BackendRole::Primary) => "primary",
        Some(BackendRole::Replica) => "replica",
        None => return,
    };
    if measure.access == AccessClass::Read {
        metrics::counter!(READS, "served_by" => role).increment(1);
    }
}

/// Counts a failover step.
pub(crate) fn count_failover_step(action: &FailoverStep) {
    let step = match action {
        FailoverStep::Began { .. } => "began",
        FailoverStep::GaveUp { .. } => "given_up",
        FailoverStep::MembersMissing { .. } => "members_missing",
        FailoverStep::MembersProbed { .. } => "members_probed",
        FailoverStep::MembersRemoved { .. } => "members_removed",
        FailoverStep::Chose { .. } => "decided",
        FailoverStep::Ending { .. } => "ending",
        FailoverStep::Holding { .. } => "holding",
        FailoverStep::Ended { .. } => "ended",
        FailoverStep::Answered { .. } => "answered",
    };
    metrics::counter!(FAILOVER_STEPS, "step" => step).increment(1);
}

/// Sets the number of in-sync members that discovery does not list.
pub(crate) fn set_missing_in_sync_members(members: usize) {
    metrics::gauge!(MISSING_IN_SYNC).set(gauge(members));
}

#[allow(
    clippy::cast_precision_loss,
    reason = "a value beyond 2^53 is exported rounded"
)]
const fn gauge_of_number(number: u64) -> f64 {
    number as f64
}

fn gauge(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Sets the remaining work in an evacuated zone; zero once the evacuation has ended.
pub(crate) fn set_evacuated_zone_work(zone: &ZoneName, work: ZoneActivity) {
    let zone = zone.as_str().to_owned();
    metrics::gauge!(EVACUATED_CONNECTIONS, "zone" => zone.clone()).set(gauge(work.connections));
    metrics::gauge!(EVACUATED_STATEMENTS, "zone" => zone).set(gauge(work.statements));
}

/// Sets the traffic counters of the peer links.
pub(crate) fn set_peer_traffic(traffic: &Traffic, links: usize) {
    traffic.for_each_message_count(|kind, direction, messages, bytes| {
        metrics::counter!(PEER_MESSAGES, "kind" => kind, "direction" => direction)
            .absolute(messages);
        metrics::counter!(PEER_BYTES, "kind" => kind, "direction" => direction).absolute(bytes);
    });
    traffic.for_each_opening_count(|kind, count| {
        metrics::counter!(OPENINGS, "kind" => kind).absolute(count);
    });
    metrics::gauge!(LINKS).set(gauge(links));
    metrics::gauge!(ACCEPTED).set(gauge(traffic.accepted_open()));
}

/// Sets the numbers of sessions, connections and queued requests.
pub(crate) fn set_engine_statistics(statistics: EngineStatistics) {
    metrics::gauge!(SESSIONS).set(gauge(statistics.sessions));
    metrics::gauge!(CONNECTIONS).set(gauge(statistics.connections));
    metrics::gauge!(WAITING).set(gauge(statistics.waiting));
}
