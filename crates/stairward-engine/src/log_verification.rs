//! Compares a leader's log with those of the other members. A database that starts again without its log does not
//! know what it had acknowledged, and neither does a node that started after it: only the other members show what
//! is missing.

use stairward_types::{BackendId, Freshness, ServiceName, Time};

use crate::engine::Engine;
use crate::event::BackendEvidence;
use crate::leadership::LogComparison;

impl Engine {
    /// Whether a leader's reply shows less of the log than another member has received in its term, and the
    /// leader's log has not been found complete.
    pub(crate) fn may_lack_entries(
        &self,
        service: &ServiceName,
        leader: &BackendId,
        position: Option<Freshness>,
    ) -> bool {
        let (Some(group), Some(backend)) = (self.groups.get(service), self.backends.get(leader))
        else {
            return false;
        };
        let is_known = self.options.leadership_lease.is_none() || backend.is_log_verified;
        !is_known
            && group
                .leadership
                .has_received_more(leader, backend.term, position)
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
