//! State of one back end, and the current cost of using it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairward_types::{BackendRole, Freshness, LogPosition, MemberStatus, RegionName, Term, Time};

use crate::identifiers::ConnectionId;
use crate::leaving::Leaving;
use crate::settings::{BackendDescription, ZoneDistance};
use crate::warm_up::WarmUp;

/// Divisor that gives the weight of a new latency sample.
const SAMPLE_WEIGHT: u64 = 8;
/// Without samples, half of the learnt excess latency is forgotten in this time.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Added to the expected latency for each statement in flight from this node.
const IN_FLIGHT_COST: Duration = Duration::from_millis(6);
/// Expected latency of a back end without recent samples, by distance.
const LATENCY_SAME_ZONE: Duration = Duration::from_millis(15);
const LATENCY_SAME_REGION: Duration = Duration::from_millis(18);
const LATENCY_REMOTE: Duration = Duration::from_millis(50);
/// Cost of opening a connection: about 12 ms of one of the back end's slots, plus two round trips.
const OPENING_COST: Duration = Duration::from_millis(15);
/// Traffic between regions costs money: a remote back end must be this much faster to be preferred.
const REMOTE_PENALTY: Duration = Duration::from_millis(40);
/// How long a back end that lacked a required log position gets the penalty.
const LAGGING_PENALTY_DURATION: Duration = Duration::from_millis(60);
/// How long a back end that refused a statement as busy gets the penalty.
const BUSY_PENALTY_DURATION: Duration = Duration::from_millis(50);
/// Added to the expected latency as a penalty.
const PENALTY: Duration = Duration::from_millis(200);
/// Delay after a failed attempt to open a connection.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after a back end reported that its connection limit is reached.
const CONNECTION_LIMIT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// State of one back end.
#[derive(Debug)]
pub(crate) struct Backend {
    pub description: Arc<BackendDescription>,
    pub distance: ZoneDistance,
    /// Its region, if its zone is known.
    pub region: Option<RegionName>,
    /// When its use ends because its zone is evacuated.
    pub evacuated_until: Option<Time>,
    /// Its warm-up state.
    pub warm_up: WarmUp,
    /// Set if it leaves or is no longer listed by discovery.
    pub leaving: Option<Leaving>,
    /// Whether discovery still lists it.
    pub is_listed: bool,
    pub connections: BTreeSet<ConnectionId>,
    /// Callers' statements in flight from this node.
    pub in_flight: u32,
    /// Whether commands to it go unanswered.
    pub is_silent: bool,
    /// When it last replied.
    pub answered_at: Option<Time>,
    /// Its log position in the last reply.
    pub position: Option<Freshness>,
    /// Lower bound of its log while it has reported itself as primary without interruption: the log of a
    /// primary never shrinks. None while it reports itself as a replica.
    pub log_floor: Option<Freshness>,
    /// Whether it reports itself as primary but lacks commits that it had acknowledged. It has lost its log
    /// and must not lead.
    pub has_lost_log: bool,
    /// Whether its log, as a leader, was compared with those of the other members since this node has known it
    /// as such. From then on `log_floor` shows a loss.
    pub is_log_verified: bool,
    /// Whether a reply, as a leader, showed less of the log than another member has received in its term.
    pub is_log_suspect: bool,
    /// Since when its log, as a leader, has been compared with those of the other members.
    pub log_check_since: Option<Time>,
    /// The highest term that it was seen to lead or follow.
    pub term: Term,
    /// The highest term in which it reported the replica role. It leads neither that term nor an earlier one.
    pub replica_term: Term,
    /// No connection is opened before this time.
    pub open_after: Time,
    lagging_until: Time,
    busy_until: Time,
    latency_micros: u64,
    sampled_at: Time,
}

impl Backend {
    pub fn new(
        description: Arc<BackendDescription>,
        distance: ZoneDistance,
        region: Option<RegionName>,
    ) -> Self {
        let mut backend = Self {
            description,
            distance,
            region,
            evacuated_until: None,
            warm_up: WarmUp::default(),
            leaving: None,
            is_listed: true,
            connections: BTreeSet::new(),
            in_flight: 0,
            is_silent: false,
            answered_at: None,
            position: None,
            log_floor: None,
            has_lost_log: false,
            is_log_verified: false,
            is_log_suspect: false,
            log_check_since: None,
            term: Term::default(),
            replica_term: Term::default(),
            open_after: Time::ZERO,
            lagging_until: Time::ZERO,
            busy_until: Time::ZERO,
            latency_micros: 0,
            sampled_at: Time::ZERO,
        };
        backend.latency_micros = backend.base_latency();
        backend
    }

    /// Resets what was learnt of the previous process after a restart. Its in-flight statements and
    /// connections end by themselves.
    pub fn start_again(&mut self) {
        self.warm_up = WarmUp::default();
        self.leaving = None;
        self.is_silent = false;
        self.answered_at = None;
        self.position = None;
        self.is_log_verified = false;
        self.is_log_suspect = false;
        self.log_check_since = None;
        self.term = Term::default();
        self.replica_term = Term::default();
        self.open_after = Time::ZERO;
        self.lagging_until = Time::ZERO;
        self.busy_until = Time::ZERO;
        self.latency_micros = self.base_latency();
    }

    fn base_latency(&self) -> u64 {
        let latency = match self.distance {
            ZoneDistance::Same => LATENCY_SAME_ZONE,
            ZoneDistance::Region => LATENCY_SAME_REGION,
            ZoneDistance::Remote => LATENCY_REMOTE,
        };
        micros(latency)
    }

    /// Applies the role reported by discovery.
    pub fn apply_role(&mut self, role: BackendRole) {
        if role == BackendRole::Replica {
            // The next leader determines its log.
            self.log_floor = None;
            self.has_lost_log = false;
            self.is_log_verified = false;
            self.is_log_suspect = false;
            self.log_check_since = None;
        }
    }

    /// Its log was found complete.
    pub fn log_verified(&mut self) {
        self.is_log_verified = true;
        self.is_log_suspect = false;
    }

    /// Another member has received `floor` in the same term, which this leader lacks. Returns whether that is
    /// news.
    pub fn log_lost(&mut self, floor: Freshness) -> bool {
        let known = self
            .log_floor
            .filter(|known| log_order(*known) >= log_order(floor));
        self.log_floor = known.or(Some(floor));
        !std::mem::replace(&mut self.has_lost_log, true)
    }

    /// Checks the position that a primary reports on a new connection against `floor`, its log's lower bound
    /// when the connection was requested. Returns whether a loss of its log was newly detected.
    pub fn check_log_retained(
        &mut self,
        floor: Option<Freshness>,
        position: Option<Freshness>,
    ) -> bool {
        let is_judged = self.description.role == BackendRole::Primary && floor.is_some();
        if !is_judged {
            return false;
        }
        let lacks = position.map(log_order) < floor.map(log_order);
        !std::mem::replace(&mut self.has_lost_log, lacks) && lacks
    }

    /// Whether new work may still be sent to it.
    pub fn is_usable(&self, now: Time) -> bool {
        let leaving_until = self.leaving.map(|leaving| leaving.ends_at);
        let ends = [leaving_until, self.evacuated_until];
        ends.into_iter().flatten().all(|ends_at| now < ends_at)
    }

    /// Whether it leaves, is unlisted or its zone is evacuated.
    pub fn is_draining(&self) -> bool {
        self.leaving.is_some() || self.evacuated_until.is_some()
    }

    /// Whether it is not draining and replies.
    pub fn is_healthy(&self) -> bool {
        !self.is_draining() && !self.is_silent
    }

    /// Records that a statement is sent to it.
    pub fn statement_sent(&mut self, now: Time) {
        self.in_flight += 1;
        self.warm_up.sent(now);
        if let Some(leaving) = &mut self.leaving {
            leaving.sent += 1;
            leaving.last_sent_at = now;
        }
    }

    /// Records the latency of a read.
    pub fn sample(&mut self, now: Time, latency: Duration) {
        let known = self.latency(now);
        let sample = micros(latency);
        self.latency_micros = (known * (SAMPLE_WEIGHT - 1) + sample) / SAMPLE_WEIGHT;
        self.sampled_at = now;
    }

    /// The expected latency in microseconds; without samples it decays to the base latency.
    fn latency(&self, now: Time) -> u64 {
        let base = self.base_latency();
        let age = micros(now.since(self.sampled_at));
        let halvings = u32::try_from(age / micros(LATENCY_HALF_LIFE)).unwrap_or(u32::MAX);
        if self.latency_micros > base {
            let excess = self.latency_micros - base;
            base + excess.checked_shr(halvings).unwrap_or(0)
        } else {
            self.latency_micros
        }
    }

    /// The cost of a read there in microseconds, including an opening if no connection is available.
    pub fn cost(&self, now: Time, floor: Option<Freshness>, is_connected: bool) -> u64 {
        let mut cost = self.latency(now) + u64::from(self.in_flight) * micros(IN_FLIGHT_COST);
        if !is_connected {
            cost += micros(OPENING_COST);
        }
        if self.distance == ZoneDistance::Remote {
            cost += micros(REMOTE_PENALTY);
        }
        if now < self.busy_until {
            cost += micros(PENALTY);
        }
        let has_floor = match (self.position, floor) {
            (Some(position), Some(floor)) => position.covers(floor),
            (_, floor) => floor.is_none(),
        };
        if now < self.lagging_until && !has_floor {
            cost += micros(PENALTY);
        }
        cost
    }

    pub fn penalize_lagging(&mut self, now: Time) {
        self.lagging_until = now + LAGGING_PENALTY_DURATION;
    }

    pub fn penalize_busy(&mut self, now: Time) {
        self.busy_until = now + BUSY_PENALTY_DURATION;
    }

    pub fn opening_failed(&mut self, now: Time, is_limit: bool) {
        let pause = if is_limit {
            CONNECTION_LIMIT_RETRY_DELAY
        } else {
            OPEN_RETRY_DELAY
        };
        self.open_after = now + pause;
    }

    /// Records a status report.
    pub fn record_status(&mut self, status: MemberStatus) {
        self.term = self.term.max(status.term);
        if status.role == BackendRole::Replica {
            self.replica_term = self.replica_term.max(status.term);
        }
    }

    /// Whether it reported itself as a replica in its highest term, so that it leads no known term.
    pub fn is_known_replica(&self) -> bool {
        self.replica_term > Term::default() && self.replica_term >= self.term
    }

    /// Records a reply. Returns whether the back end had been silent.
    pub fn answered(&mut self, now: Time, position: Option<Freshness>) -> bool {
        self.answered_at = Some(now);
        if let Some(known) = position {
            self.position = position;
            if self.description.role == BackendRole::Primary {
                let higher = self
                    .log_floor
                    .filter(|floor| log_order(*floor) > log_order(known));
                self.has_lost_log &= higher.is_some();
                self.log_floor = higher.or(position);
            }
            self.term = self.term.max(known.term);
        }
        std::mem::take(&mut self.is_silent)
    }
}

/// Sort key of positions in one log.
fn log_order(freshness: Freshness) -> (Term, LogPosition) {
    (freshness.term, freshness.position)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
