//! An accepted configuration is in force on every proxy within the limit and never reverts.

use std::collections::{BTreeMap, BTreeSet};

use stairward_types::{Duration, NodeId, Revision, Time};

use crate::event::HistoryEvent;
use crate::recorder::History;
use crate::report::{Invariant, Report};

pub(super) fn check(history: &History, limit: Duration, report: &mut Report) {
    check_never_lower(history, report);
    check_in_force_in_time(history, limit, report);
}

fn check_never_lower(history: &History, report: &mut Report) {
    let mut newest: BTreeMap<NodeId, Revision> = BTreeMap::new();
    let mut accepted: BTreeSet<Revision> = BTreeSet::new();
    for record in &history.records {
        match record.event {
            HistoryEvent::SettingsAccepted { revision } => {
                accepted.insert(revision);
            }
            HistoryEvent::SettingsApplied { proxy, revision } => {
                report.observe(Invariant::ConfigurationReverted);
                let before = newest.entry(proxy).or_default();
                if revision < *before {
                    let text =
                        format!("proxy {proxy} went from revision {before} back to {revision}");
                    report.violate(Invariant::ConfigurationReverted, Vec::new(), text);
                }
                if !accepted.contains(&revision) {
                    let text = format!("proxy {proxy} applied revision {revision}, never accepted");
                    report.violate(Invariant::ConfigurationReverted, Vec::new(), text);
                }
                *before = revision.max(*before);
            }
            _ => {}
        }
    }
}

/// From when on a proxy has been alive with neither itself nor the store disturbed.
#[derive(Default)]
struct Calm {
    store_is_faulty: bool,
    since_store: Time,
    alive: BTreeMap<NodeId, Time>,
    faulty: BTreeSet<NodeId>,
    in_force: BTreeMap<NodeId, Revision>,
}

impl Calm {
    fn follow(&mut self, at: Time, event: &HistoryEvent) {
        match *event {
            HistoryEvent::StoreFaultBegan => self.store_is_faulty = true,
            HistoryEvent::StoreFaultEnded => {
                self.store_is_faulty = false;
                self.since_store = at;
            }
            HistoryEvent::ProxyStarted { proxy } => {
                self.alive.insert(proxy, at);
                self.faulty.remove(&proxy);
                self.in_force.remove(&proxy);
            }
            HistoryEvent::ProxyKilled { proxy }
            | HistoryEvent::StopBegan { proxy }
            | HistoryEvent::StopEnded { proxy } => {
                self.alive.remove(&proxy);
            }
            HistoryEvent::ProxyFaultBegan { proxy } => {
                self.faulty.insert(proxy);
            }
            HistoryEvent::ProxyFaultEnded { proxy } => {
                self.faulty.remove(&proxy);
                if let Some(since) = self.alive.get_mut(&proxy) {
                    *since = at;
                }
            }
            HistoryEvent::SettingsApplied { proxy, revision } => {
                let before = self.in_force.entry(proxy).or_default();
                *before = revision.max(*before);
            }
            _ => {}
        }
    }

    /// Proxies that have been calm since a moment, and the revision in force on each.
    fn calm_since(&self, moment: Time) -> Vec<(NodeId, Revision)> {
        if self.store_is_faulty || self.since_store > moment {
            return Vec::new();
        }
        self.alive
            .iter()
            .filter(|(proxy, since)| **since <= moment && !self.faulty.contains(proxy))
            .map(|(&proxy, _)| {
                (
                    proxy,
                    self.in_force.get(&proxy).copied().unwrap_or_default(),
                )
            })
            .collect()
    }
}

/// A revision whose limit has not passed yet.
struct Pending {
    revision: Revision,
    accepted_at: Time,
}

fn check_in_force_in_time(history: &History, limit: Duration, report: &mut Report) {
    let mut calm = Calm::default();
    let mut pending: Vec<Pending> = Vec::new();
    for record in &history.records {
        let is_due = |waiting: &Pending| record.at > waiting.accepted_at + limit;
        for due in pending.extract_if(.., |waiting| is_due(waiting)) {
            check_due(&calm, &due, limit, report);
        }
        calm.follow(record.at, &record.event);
        if let HistoryEvent::SettingsAccepted { revision } = record.event {
            pending.push(Pending {
                revision,
                accepted_at: record.at,
            });
        }
    }
}

fn check_due(calm: &Calm, due: &Pending, limit: Duration, report: &mut Report) {
    for (proxy, in_force) in calm.calm_since(due.accepted_at) {
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
