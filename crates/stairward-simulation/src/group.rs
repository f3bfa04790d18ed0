//! The databases of one service: replication, promotion, and their entries in discovery.

use std::collections::BTreeMap;
use std::time::Duration;

use stairward_engine::BackendDescription;
use stairward_types::{
    BackendId, BackendRole, Incarnation, ServiceName, StoreRevision, Term, Time, ZoneName,
};

use crate::database::{Database, LogEntry};

/// How long an old primary keeps running once it is connected to the new one.
const OLD_PRIMARY_RUN_TIME: Duration = Duration::from_secs(1);

/// The name of the only service.
pub const SERVICE: &str = "core";

/// The databases of one service.
#[derive(Debug)]
pub struct Group {
    /// The databases by id.
    pub databases: BTreeMap<BackendId, Database>,
    /// The entries in discovery.
    pub listed: BTreeMap<BackendId, BackendDescription>,
    /// Revision of discovery, which rises with each change.
    pub revision: u64,
    /// The highest fencing token seen.
    pub fence: u64,
    /// Whether an old primary keeps running after another was promoted, until it steps down or has been
    /// connected to the new one for a while.
    pub old_primaries_keep_running: bool,
    /// The database that was promoted last, which the others replicate from even after it has stepped down.
    source: BackendId,
    applied_at: BTreeMap<BackendId, Vec<(Time, usize)>>,
}

/// The name of the only service.
pub fn service() -> ServiceName {
    ServiceName::new(SERVICE).expect("valid name")
}

impl Group {
    /// A primary and two replicas.
    pub fn new(connection_limit: usize) -> Self {
        let mut databases = BTreeMap::new();
        for number in 1..=3 {
            let id = BackendId::new(format!("db-{number}")).expect("valid name");
            let role = if number == 1 {
                BackendRole::Primary
            } else {
                BackendRole::Replica
            };
            databases.insert(id.clone(), Database::new(id, role, connection_limit));
        }
        let mut group = Self {
            databases,
            listed: BTreeMap::new(),
            revision: 0,
            fence: 0,
            old_primaries_keep_running: false,
            source: BackendId::new("db-1").expect("valid name"),
            applied_at: BTreeMap::new(),
        };
        let ids: Vec<_> = group.databases.keys().cloned().collect();
        for id in ids {
            group.announce(&id);
        }
        group
    }

    /// Lists a database in discovery with its current state.
    pub fn announce(&mut self, id: &BackendId) {
        let Some(database) = self.databases.get(id) else {
            return;
        };
        self.revision += 1;
        let number = u16::from(id.as_str().as_bytes()[3] - b'0');
        let description = BackendDescription {
            id: id.clone(),
            service: service(),
            address: ([127, 0, 0, 1], 7_000 + number).into(),
            zone: ZoneName::new(format!("zone-{number}")).expect("valid name"),
            is_leaving: database.leaving_since.is_some(),
            role: database.role,
            incarnation: Some(Incarnation(database.start_count)),
            cold_left: database.announced_cold_time,
            slots: None,
            revision: StoreRevision::new(0, self.revision),
        };
        self.listed.insert(id.clone(), description);
    }

    /// Lists a database in discovery, but keeps the entry and the revision if nothing has changed.
    pub fn announce_if_changed(&mut self, id: &BackendId) {
        let listed = self.listed.get(id).cloned();
        let revision = self.revision;
        self.announce(id);
        if let (Some(listed), Some(announced)) = (listed, self.listed.get_mut(id)) {
            let with_old_revision = BackendDescription {
                revision: listed.revision,
                ..announced.clone()
            };
            if with_old_revision == listed {
                *announced = listed;
                self.revision = revision;
            }
        }
    }

    /// Removes a database from discovery. It counts as leaving from then on.
    pub fn unlist(&mut self, id: &BackendId, now: Time) {
        self.revision += 1;
        self.listed.remove(id);
        if let Some(database) = self.databases.get_mut(id) {
            database.leaving_since.get_or_insert(now);
        }
    }

    /// Erases a database's log. Returns the entries that no other database has.
    pub fn erase_log(&mut self, id: &BackendId) -> Vec<LogEntry> {
        let Some(database) = self.databases.get_mut(id) else {
            return Vec::new();
        };
        let log = std::mem::take(&mut database.log);
        database.discard_state();
        let is_kept = |entry: &LogEntry| self.databases.values().any(|d| d.log.contains(entry));
        log.into_iter().filter(|entry| !is_kept(entry)).collect()
    }

    /// The primary of the newest term.
    pub fn primary(&self) -> Option<&BackendId> {
        let primaries = self
            .databases
            .values()
            .filter(|database| database.role == BackendRole::Primary);
        primaries
            .max_by_key(|database| database.term)
            .map(|database| &database.id)
    }

    /// Promotes a database to primary of the next term with the log that it has received; the others follow
    /// it. Returns the entries of the others that are rolled back.
    pub fn promote(&mut self, id: &BackendId) -> Vec<LogEntry> {
        let newest = self.databases.values().map(|database| database.term).max();
        self.applied_at.clear();
        let term = Term(newest.unwrap_or_default().0 + 1);
        let Some(leader) = self.databases.get_mut(id) else {
            return Vec::new();
        };
        leader.role = BackendRole::Primary;
        leader.term = term;
        leader.applied = leader.log.len();
        let leader_log = leader.log.clone();
        self.source = id.clone();
        let mut rolled_back = Vec::new();
        for (other_id, other) in &mut self.databases {
            other.resume();
            if other_id == id {
                continue;
            }
            let is_old_primary = other.role == BackendRole::Primary;
            if is_old_primary && self.old_primaries_keep_running && other.is_alive {
                other.connected_to_successor_since = None;
                rolled_back.extend(divergent_entries(&other.log, &leader_log).iter().cloned());
                continue;
            }
            other.role = BackendRole::Replica;
            if other.is_alive && !self.old_primaries_keep_running {
                other.term = term;
            }
            let same = other.log.len() - divergent_entries(&other.log, &leader_log).len();
            rolled_back.extend(other.log.split_off(same));
            other.applied = other.applied.min(other.log.len());
        }
        rolled_back
    }

    /// Demotes old primaries that have been connected to the new one for long enough. Returns the entries
    /// that are rolled back.
    pub fn demote_old_primaries(&mut self, now: Time) -> Vec<LogEntry> {
        let Some(leader) = self.databases.get(&self.source) else {
            return Vec::new();
        };
        let (term, leader_log, can_ship_log) =
            (leader.term, leader.log.clone(), leader.can_ship_log());
        let mut rolled_back = Vec::new();
        for database in self.databases.values_mut() {
            if database.role != BackendRole::Primary || database.term >= term {
                continue;
            }
            if !can_ship_log || !database.is_reachable() {
                database.connected_to_successor_since = None;
                continue;
            }
            let since = *database.connected_to_successor_since.get_or_insert(now);
            if now >= since + OLD_PRIMARY_RUN_TIME {
                database.role = BackendRole::Replica;
                let same = database.log.len() - divergent_entries(&database.log, &leader_log).len();
                rolled_back.extend(database.log.split_off(same));
                database.applied = database.applied.min(database.log.len());
            }
        }
        rolled_back
    }

    /// Whether enough replicas have received a commit for it to be acknowledged. The database that committed it
    /// does not count, even if it has stepped down and is a replica by now.
    #[must_use]
    pub fn is_replicated(&self, committer: &BackendId, entry: &LogEntry, replicas: u32) -> bool {
        let number = usize::try_from(entry.at.position.0).unwrap_or(usize::MAX);
        let has_entry = |database: &&Database| {
            database.id != *committer
                && database.role == BackendRole::Replica
                && database.log.get(number - 1) == Some(entry)
        };
        let holding = self.databases.values().filter(has_entry).count();
        holding >= usize::try_from(replicas).unwrap_or(usize::MAX)
    }

    /// Replicas receive the primary's log and apply it after `lag` multiplied by their own factor. The log of
    /// a primary that has stepped down is received to its end.
    pub fn replicate(&mut self, now: Time, lag: Duration) {
        let source = self.source.clone();
        let Some(leader) = self.databases.remove(&source) else {
            return;
        };
        let can_ship_log = leader.can_ship_log();
        for (id, database) in &mut self.databases {
            if !database.is_alive || database.role == BackendRole::Primary {
                continue;
            }
            if can_ship_log
                && !database.is_isolated
                && !database.is_silent
                && database.held <= leader.term
            {
                database.term = leader.term;
                if database.log.len() != leader.log.len()
                    || database.log.last() != leader.log.last()
                {
                    // A former primary may have more entries than the current one.
                    let same =
                        database.log.len() - divergent_entries(&database.log, &leader.log).len();
                    database.applied = database.applied.min(same);
                    database.log.clone_from(&leader.log);
                }
            }
            let history = self.applied_at.entry(id.clone()).or_default();
            history.push((now, database.log.len()));
            let lag = lag * database.lag_factor;
            let due = history.iter().rposition(|(at, _)| *at + lag <= now);
            if let Some(due) = due {
                let length = history[due].1.min(database.log.len());
                database.applied = database.applied.max(length);
                history.drain(..due);
            }
        }
        self.databases.insert(source, leader);
    }
}

/// The entries of a log after its common prefix with another.
fn divergent_entries<'a>(log: &'a [LogEntry], leader_log: &[LogEntry]) -> &'a [LogEntry] {
    let same = log
        .iter()
        .zip(leader_log)
        .take_while(|(theirs, ours)| theirs == ours)
        .count();
    &log[same..]
}
