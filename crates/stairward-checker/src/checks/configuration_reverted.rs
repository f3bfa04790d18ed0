//! Every proxy without faults applies an accepted settings revision within the limit, and no proxy
//! goes back to an older revision.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, Revision, Time};

use crate::event::HistoryEvent;
use crate::recorder::History;
use crate::report::{Invariant, Report};

pub(super) fn check(history: &History, limit: Duration, report: &mut Report) {
    check_no_reversion(history, report);
    check_applied_in_time(history, limit, report);
}

fn check_no_reversion(history: &History, report: &mut Report) {
    let mut highest_applied: BTreeMap<NodeId, Revision> = BTreeMap::new();
    let mut accepted: BTreeSet<Revision> = BTreeSet::new();
    for record in &history.records {
        match record.event {
            HistoryEvent::SettingsAccepted { revision } => {
                accepted.insert(revision);
            }
            HistoryEvent::SettingsApplied { proxy, revision } => {
                report.observe(Invariant::ConfigurationReverted);
                let previous = highest_applied.entry(proxy).or_default();
                if revision < *previous {
                    let text =
                        format!("proxy {proxy} reverted from revision {previous} to {revision}");
                    report.violate(Invariant::ConfigurationReverted, Vec::new(), text);
                }
                if !accepted.contains(&revision) {
                    let text = format!(
                        "proxy {proxy} applied revision {revision}, which the store never accepted"
                    );
                    report.violate(Invariant::ConfigurationReverted, Vec::new(), text);
                }
                *previous = revision.max(*previous);
            }
            _ => {}
        }
    }
}

/// Since when each proxy has been running without a fault of its own or of the store. Only a proxy
/// without such a fault since a revision's acceptance must apply the revision within the limit.
#[derive(Default)]
struct ProxyHealth {
    store_is_faulty: bool,
    store_healthy_since: Time,
    running_since: BTreeMap<NodeId, Time>,
    faulty_proxies: BTreeSet<NodeId>,
    in_force: BTreeMap<NodeId, Revision>,
}

impl ProxyHealth {
    fn apply(&mut self, at: Time, event: &HistoryEvent) {
        match *event {
            HistoryEvent::StoreFaultBegan => self.store_is_faulty = true,
            HistoryEvent::StoreFaultEnded => {
                self.store_is_faulty = false;
                self.store_healthy_since = at;
            }
            HistoryEvent::ProxyStarted { proxy } => {
                self.running_since.insert(proxy, at);
                self.faulty_proxies.remove(&proxy);
                self.in_force.remove(&proxy);
            }
            HistoryEvent::ProxyKilled { proxy }
            | HistoryEvent::StopBegan { proxy }
            | HistoryEvent::StopEnded { proxy } => {
                self.running_since.remove(&proxy);
            }
            HistoryEvent::ProxyFaultBegan { proxy } => {
                self.faulty_proxies.insert(proxy);
            }
            HistoryEvent::ProxyFaultEnded { proxy } => {
                self.faulty_proxies.remove(&proxy);
                if let Some(since) = self.running_since.get_mut(&proxy) {
                    *since = at;
                }
            }
            HistoryEvent::SettingsApplied { proxy, revision } => {
                let previous = self.in_force.entry(proxy).or_default();
                *previous = revision.max(*previous);
            }
            _ => {}
        }
    }

    /// Proxies that have run undisturbed since `moment`, and the revision in force on each.
    fn undisturbed_since(&self, moment: Time) -> Vec<(NodeId, Revision)> {
        if self.store_is_faulty || self.store_healthy_since > moment {
            return Vec::new();
        }
        self.running_since
            .iter()
            .filter(|(proxy, since)| **since <= moment && !self.faulty_proxies.contains(proxy))
            .map(|(&proxy, _)| {
                (
                    proxy,
                    self.in_force.get(&proxy).copied().unwrap_or_default(),
                )
            })
            .collect()
    }
}

/// An accepted revision whose time limit has not yet passed.
struct Pending {
    revision: Revision,
    accepted_at: Time,
}

fn check_applied_in_time(history: &History, limit: Duration, report: &mut Report) {
    let mut health = ProxyHealth::default();
    let mut pending: Vec<Pending> = Vec::new();
    for record in &history.records {
        let is_due = |candidate: &Pending| record.at > candidate.accepted_at + limit;
        for due in pending.extract_if(.., |candidate| is_due(candidate)) {
            check_due(&health, &due, limit, report);
        }
        health.apply(record.at, &record.event);
        if let HistoryEvent::SettingsAccepted { revision } = record.event {
            pending.push(Pending {
                revision,
                accepted_at: record.at,
            });
        }
    }
}

fn check_due(health: &ProxyHealth, due: &Pending, limit: Duration, report: &mut Report) {
    for (proxy, in_force) in health.undisturbed_since(due.accepted_at) {
        report.observe(Invariant::ConfigurationReverted);
        if in_force < due.revision {
            let text = format!(
                "proxy {proxy} still had revision {in_force} in force {limit:?} after revision {} \
                 was accepted",
                due.revision
            );
            report.violate(Invariant::ConfigurationReverted, Vec::new(), text);
        }
    }
}
