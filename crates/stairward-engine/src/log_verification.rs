//! Compares a leader's log with those of the other members. A database that starts again without its log does not
//! know what it had acknowledged, and neither does a node that started after it: only the other members show what
//! is missing.

use std::time::Duration;

use stairward_types::{BackendId, Freshness, ServiceName, Time};

use crate::engine::Engine;
use crate::event::BackendEvidence;
use crate::leadership::LogComparison;

/// Without a leadership lease: how recently the other members must have reported their logs.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Without a leadership lease: how long a leader's replies wait for the reports of members that do not answer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Without a leadership lease: interval at which a member is queried until it reports.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

impl Engine {
    /// Whether a leader's log has not been found complete, and its reply shows less of the log than another
    /// member has received in its term, or the other members have not reported yet.
    pub(crate) fn may_lack_entries(
        &self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
        position: Option<Freshness>,
    ) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        let is_trusted = self.options.leadership_lease.is_none() && !self.options.compares_logs;
        if is_trusted || backend.is_log_verified {
            return false;
        }
        let has_received_more = group
            .leadership
            .has_received_more(leader, backend.term, position);
        has_received_more || !self.have_members_reported(now, service, leader)
    }

    /// Whether the other members have reported their logs, or had the time to. With a leadership lease they must
    /// report before the leader is confirmed.
    fn have_members_reported(&self, now: Time, service: &ServiceName, leader: &BackendId) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        if self.options.leadership_lease.is_some() {
            return true;
        }
        let is_timed_out = backend
            .log_check_since
            .is_some_and(|since| now >= since + REPORT_TIMEOUT);
        let others = self.other_members(group, leader);
        let mut others = others.iter();
        is_timed_out || others.all(|id| group.leadership.has_report_within(now, id, REPORT_AGE))
    }

    /// Queries the other members whose logs are missing for the comparison with the leader's, where no
    /// confirmation of the leadership does so.
    pub(crate) fn query_logs_of_others(
        &mut self,
        now: Time,
        service: &ServiceName,
        leader: &BackendId,
    ) {
        if !self.must_compare_log(leader) {
            return;
        }
        if let Some(backend) = self.backends.get_mut(leader) {
            backend.log_check_since.get_or_insert(now);
        }
        let Some(group) = self.groups.get(service) else {
            return;
        };
        for id in self.other_members(group, leader) {
            self.query_log(now, service, &id, REPORT_AGE);
        }
        self.schedule_query_retry(now, service);
    }

    /// Queries all members whose logs are missing for the comparison, including the leader.
    pub(crate) fn query_logs(&mut self, now: Time, service: &ServiceName, leader: &BackendId) {
        if self.must_compare_log(leader) {
            self.query_logs_of_others(now, service, leader);
            self.query_log(now, service, leader, QUERY_INTERVAL);
        }
    }

    /// Whether the leader's log must be compared, and no confirmation of the leadership does so.
    fn must_compare_log(&self, leader: &BackendId) -> bool {
        let backend = self.backends.get(leader);
        self.options.leadership_lease.is_none()
            && self.options.compares_logs
            && backend.is_some_and(|backend| !backend.is_log_verified)
    }

    /// Queries a member that has not reported within `age`.
    fn query_log(&mut self, now: Time, service: &ServiceName, id: &BackendId, age: Duration) {
        let is_due = self.groups.get(service).is_some_and(|group| {
            let leadership = &group.leadership;
            !leadership.has_report_within(now, id, age)
                && !leadership.was_queried_within(now, id, QUERY_INTERVAL)
        });
        if is_due {
            self.query_member(now, service, id);
        }
    }

    /// Notes that a leader's reply shows all that the other members have received, if all have reported.
    pub(crate) fn log_found_complete(&mut self, service: &ServiceName, leader: &BackendId) {
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let others = self.other_members(group, leader);
        let is_complete = group.leadership.has_reports_of(&others);
        if let Some(backend) = self.backends.get_mut(leader).filter(|_| is_complete) {
            backend.log_verified();
        }
    }

    /// Notes that a leader's log must be compared before its replies are trusted.
    pub(crate) fn doubt_log(&mut self, leader: &BackendId) {
        if let Some(backend) = self.backends.get_mut(leader) {
            backend.is_log_suspect = true;
        }
    }

    /// Compares the reports of the members, until the leader's log has been found complete.
    pub(crate) fn verify_leader_log(&mut self, now: Time, service: &ServiceName) {
        let (Some(leader), Some(group)) = (self.leader(now, service), self.groups.get(service))
        else {
            return;
        };
        let comparison = group.leadership.compare_log(&leader);
        let others = self.other_members(group, &leader);
        let is_complete = group.leadership.has_reports_of(&others);
        let Some(backend) = self.backends.get_mut(&leader) else {
            return;
        };
        if backend.is_log_verified {
            return;
        }
        match comparison {
            LogComparison::Complete if is_complete => backend.log_verified(),
            LogComparison::Complete | LogComparison::Unknown => {}
            LogComparison::MayLack => backend.is_log_suspect = true,
            LogComparison::Lacks(entry) => {
                if backend.log_lost(entry) {
                    self.observe(&leader, BackendEvidence::LostLog);
                }
            }
        }
    }

    /// Whether other nodes must not rely on this one's knowledge of the leader: its log lacks entries or may
    /// lack some, or this node has never asked it.
    pub(crate) fn is_leader_log_doubtful(&self, now: Time, service: &ServiceName) -> bool {
        let Some(group) = self.groups.get(service) else {
            return true;
        };
        let mut members = group.members.iter().filter_map(|id| self.backends.get(id));
        let Some(leader) = self.leader(now, service) else {
            return members.any(|member| member.has_lost_log);
        };
        let is_verified = |leader: &BackendId| {
            let backend = self.backends.get(leader);
            backend.is_some_and(|backend| backend.is_log_verified && !backend.is_log_suspect)
        };
        !is_verified(&leader) && group.leadership.compare_log(&leader) != LogComparison::Complete
    }
}
