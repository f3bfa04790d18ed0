//! The node's figures: counters and latency histograms, shown as text for Prometheus.

use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use stairward_engine::{Consistency, EngineStatistics, RequestMeasure, ZoneWork};
use stairward_failover::Action;
use stairward_types::{
    AccessClass, BackendRole, OutcomeClass, ServiceName, StoreRevision, ZoneName,
};

use crate::traffic::Traffic;

/// Requests that ended, by what their reads must see, access and outcome.
const REQUESTS: &str = "stairward_requests_total";
/// Time from a request's arrival to its answer, in seconds, by the same.
const LATENCY: &str = "stairward_request_seconds";
/// Reads that a back end answered, by its role.
const READS: &str = "stairward_reads_total";
/// Steps of the failover duty, by kind.
const FAILOVER_STEPS: &str = "stairward_failover_steps_total";
/// Open sessions.
const SESSIONS: &str = "stairward_sessions";
/// Connections to back ends.
const CONNECTIONS: &str = "stairward_backend_connections";
/// Connections to back ends of an evacuated zone, by zone.
const EVACUATED_CONNECTIONS: &str = "stairward_evacuated_connections";
/// Statements under way at back ends of an evacuated zone, by zone.
const EVACUATED_STATEMENTS: &str = "stairward_evacuated_statements";
/// Statements sent to back ends that were leaving, counted when their time was over.
const SENT_TO_LEAVING: &str = "stairward_statements_to_leaving_total";
/// Starts of back ends under an id that they had before, by service.
const BACKEND_STARTS: &str = "stairward_backend_starts_total";
/// Entries of back ends that were left out, by reason.
const ENTRIES_REFUSED: &str = "stairward_entries_refused_total";
/// The copy of the store that answers: it rises each time that the store comes back from an older copy.
const STORE_ERA: &str = "stairward_store_era";
/// The store's revision that a feed holds, as the copy of the store counts that it follows, by feed.
const FEED_REVISION: &str = "stairward_feed_revision";
/// Requests that wait.
const WAITING: &str = "stairward_requests_waiting";
/// Messages between nodes, by kind and direction.
const PEER_MESSAGES: &str = "stairward_peer_messages_total";
/// Bytes of messages between nodes, by kind and direction.
const PEER_BYTES: &str = "stairward_peer_bytes_total";
/// Connections opened, by what for.
const OPENINGS: &str = "stairward_openings_total";
/// Links to other nodes that are open or being opened.
const LINKS: &str = "stairward_peer_links";
/// Open connections that other nodes made.
const ACCEPTED: &str = "stairward_peer_connections_accepted";
/// Upper ends of the histogram's buckets, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Starts counting in this process; a second start fails.
///
/// # Errors
/// When counting was started before.
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

/// Counts what was sent to a back end from when it was heard that it leaves.
pub(crate) fn count_sent_to_leaving(statements: u64) {
    metrics::counter!(SENT_TO_LEAVING).increment(statements);
}

/// Counts a start of a back end under the id that it had.
pub(crate) fn count_backend_start(service: &ServiceName) {
    metrics::counter!(BACKEND_STARTS, "service" => service.to_string()).increment(1);
}

/// Counts an entry of discovery that can't be used.
pub fn count_refused_entry(reason: &'static str) {
    metrics::counter!(ENTRIES_REFUSED, "reason" => reason).increment(1);
}

/// Shows which copy of the store answers.
pub fn set_store_era(era: u64) {
    metrics::gauge!(STORE_ERA).set(gauge_of_number(era));
}

/// Shows which revision of the store's a feed holds.
pub(crate) fn set_feed_revision(feed: &str, held: StoreRevision) {
    metrics::gauge!(FEED_REVISION, "feed" => feed.to_owned()).set(gauge_of_number(held.revision()));
}

/// Counts a request that ended.
pub(crate) fn count_request(measure: &RequestMeasure) {
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

/// Counts a step of the failover duty.
pub(crate) fn count_failover_step(action: &Action) {
    let step = match action {
        Action::Began { .. } => "began",
        Action::GaveUp { .. } => "given_up",
        Action::Chose { .. } => "decided",
        Action::Ending { .. } => "ending",
        Action::Holding { .. } => "holding",
        Action::Ended { .. } => "ended",
        Action::Answered { .. } => "answered",
    };
    metrics::counter!(FAILOVER_STEPS, "step" => step).increment(1);
}

#[allow(
    clippy::cast_precision_loss,
    reason = "a figure beyond 2^53 is shown rounded"
)]
const fn gauge_of_number(number: u64) -> f64 {
    number as f64
}

fn gauge(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Shows what still goes on in an evacuated zone; nothing once it is taken back.
pub(crate) fn set_evacuated_zone_work(zone: &ZoneName, work: ZoneWork) {
    let zone = zone.as_str().to_owned();
    metrics::gauge!(EVACUATED_CONNECTIONS, "zone" => zone.clone()).set(gauge(work.connections));
    metrics::gauge!(EVACUATED_STATEMENTS, "zone" => zone).set(gauge(work.statements));
}

/// Shows what the links to other nodes carry.
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

/// Shows how much is open.
pub(crate) fn set_engine_statistics(statistics: EngineStatistics) {
    metrics::gauge!(SESSIONS).set(gauge(statistics.sessions));
    metrics::gauge!(CONNECTIONS).set(gauge(statistics.connections));
    metrics::gauge!(WAITING).set(gauge(statistics.waiting));
}
