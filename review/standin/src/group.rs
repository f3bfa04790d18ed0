//! The databases of one service: their logs, roles and terms, and replication between them.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::record::Record;

/// A write of a client.
#[derive(Debug, Clone)]
pub struct Write {
    pub id: String,
    pub thing: String,
    pub data: String,
}

/// A committed entry of a log.
#[derive(Debug, Clone)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub writes: Vec<Write>,
    at: Instant,
}

/// One database.
pub struct Database {
    pub id: String,
    pub zone: String,
    pub port: u16,
    pub is_alive: bool,
    /// Rises with each start, so that connections of an earlier process end.
    pub life: u64,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Arc<Entry>>,
    pub held: u64,
    /// One-way delay of the network to this database.
    pub delay: Duration,
    pub connections: usize,
    pub streams: Vec<TcpStream>,
}

impl Database {
    pub fn new(id: &str, zone: &str, is_primary: bool, delay_ms: u64) -> Self {
        Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            port: 0,
            is_alive: true,
            life: 1,
            is_primary,
            term: 1,
            log: Vec::new(),
            held: 0,
            delay: Duration::from_millis(delay_ms),
            connections: 0,
            streams: Vec::new(),
        }
    }

    /// The position of the log, as TERM.NUMBER.
    pub fn position(&self) -> String {
        let last = self.log.last();
        last.map_or("1.0".to_owned(), |entry| {
            format!("{}.{}", entry.term, entry.number)
        })
    }

    /// Whether the log contains a position.
    pub fn contains(&self, position: &str) -> bool {
        let Some((term, number)) = position.split_once('.') else {
            return true;
        };
        let (Ok(term), Ok(number)) = (term.parse::<u64>(), number.parse::<usize>()) else {
            return true;
        };
        number == 0
            || self
                .log
                .get(number - 1)
                .is_some_and(|entry| entry.term == term)
    }

    /// The row that answers STATUS, PAUSE, RESUME and STEPDOWN.
    pub fn status(&self) -> String {
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        format!(
            "ROW {role} {} {} {} 0 0 {}\r\nCOMPLETE -\r\nREADY I {}\r\n",
            self.term,
            self.position(),
            self.held,
            self.connections,
            self.position()
        )
    }

    pub fn read(&self, thing: &str) -> Option<&Write> {
        let writes = self
            .log
            .iter()
            .rev()
            .flat_map(|entry| entry.writes.iter().rev());
        writes.into_iter().find(|write| write.thing == thing)
    }

    pub fn has_write(&self, id: &str) -> bool {
        self.log
            .iter()
            .any(|entry| entry.writes.iter().any(|write| write.id == id))
    }
}

/// How the deployment behaves.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    pub promote_delay: Duration,
    pub requires_fence: bool,
}

pub struct State {
    pub databases: Vec<Database>,
    pub fence: u64,
    pub promotions: Vec<Promotion>,
}

/// A promotion that has taken effect.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub target: usize,
    /// The ids of the writes in the log of the target.
    pub writes: BTreeSet<String>,
}

/// All databases, behind one lock.
pub struct Group {
    pub rules: Rules,
    state: Mutex<State>,
    changed: Condvar,
}

impl Group {
    pub fn new(rules: Rules, databases: Vec<Database>) -> Self {
        Self {
            rules,
            state: Mutex::new(State {
                databases,
                fence: 0,
                promotions: Vec::new(),
            }),
            changed: Condvar::new(),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Commits writes at a database and waits until enough replicas have received them. Returns the position, or
    /// none if the database has ended or lost the lead before.
    pub fn commit(
        &self,
        index: usize,
        life: u64,
        writes: Vec<Write>,
    ) -> Result<String, CommitError> {
        let mut state = self.lock();
        let database = &mut state.databases[index];
        if !database.is_alive || database.life != life {
            return Err(CommitError::Ended);
        }
        if !database.is_primary {
            return Err(CommitError::ReadOnly);
        }
        let (term, number) = (database.term, database.log.len() as u64 + 1);
        database.log.push(Arc::new(Entry {
            term,
            number,
            writes,
            at: Instant::now(),
        }));
        loop {
            let database = &state.databases[index];
            if !database.is_alive || database.life != life {
                return Err(CommitError::Ended);
            }
            let place = number as usize - 1;
            let has_entry = |database: &Database| {
                database
                    .log
                    .get(place)
                    .is_some_and(|entry| entry.term == term)
            };
            if !has_entry(database) {
                return Err(CommitError::Ended);
            }
            let others = state.databases.iter().enumerate();
            let received = others.filter(|(other, database)| {
                *other != index && database.is_alive && has_entry(database)
            });
            if received.count() >= self.rules.sync_replicas {
                return Ok(format!("{term}.{number}"));
            }
            if !database.is_primary {
                return Err(CommitError::Ended);
            }
            let waited = self.changed.wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap().0;
        }
    }

    /// Carries entries from the primaries to their replicas.
    pub fn replicate(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let leader = state.databases.iter().enumerate();
        let leader = leader
            .filter(|(_, database)| database.is_alive && database.is_primary)
            .max_by_key(|(_, database)| database.term);
        let Some((leader_index, leader)) = leader else {
            return;
        };
        let leader_term = leader.term;
        let leader_log = std::mem::take(&mut state.databases[leader_index].log);
        let mut has_changed = false;
        for (index, database) in state.databases.iter_mut().enumerate() {
            if index == leader_index || !database.is_alive {
                continue;
            }
            if database.is_primary || database.held > leader_term {
                continue;
            }
            has_changed |= receive(database, &leader_log, now);
        }
        state.databases[leader_index].log = leader_log;
        drop(state);
        if has_changed {
            self.changed.notify_all();
        }
    }

    /// Puts a promotion into effect.
    pub fn promote(&self, index: usize, record: &Record) {
        let mut state = self.lock();
        if !state.databases[index].is_alive || state.databases[index].is_primary {
            return;
        }
        let term = state
            .databases
            .iter()
            .map(|database| database.term)
            .max()
            .unwrap_or(0)
            + 1;
        for (other, database) in state.databases.iter_mut().enumerate() {
            database.held = 0;
            if other == index {
                database.is_primary = true;
                database.term = term;
            } else {
                // In that moment the old primary loses the lead.
                database.is_primary = false;
            }
        }
        let database = &state.databases[index];
        let writes = database.log.iter().flat_map(|entry| &entry.writes);
        let writes = writes.map(|write| write.id.clone()).collect();
        record.tell(&format!(
            "promotion in effect: {} leads term {term} from position {}",
            database.id,
            database.position()
        ));
        state.promotions.push(Promotion {
            target: index,
            writes,
        });
        drop(state);
        self.changed.notify_all();
    }

    /// Ends the process of a database.
    pub fn crash(&self, index: usize, record: &Record) {
        let mut state = self.lock();
        let database = &mut state.databases[index];
        database.is_alive = false;
        database.life += 1;
        database.connections = 0;
        for stream in std::mem::take(&mut database.streams) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        record.tell(&format!(
            "{} crashes at position {}",
            database.id,
            database.position()
        ));
        drop(state);
        self.changed.notify_all();
    }
}

/// Why a commit has no position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitError {
    ReadOnly,
    Ended,
}

/// Brings a replica's log in line with its leader's.
fn receive(database: &mut Database, leader: &[Arc<Entry>], now: Instant) -> bool {
    let mut has_changed = false;
    // Entries that the leader lacks are rolled back.
    while let Some(own) = database.log.last() {
        let place = database.log.len() - 1;
        if leader
            .get(place)
            .is_some_and(|entry| entry.term == own.term)
        {
            break;
        }
        database.log.pop();
        has_changed = true;
    }
    while let Some(entry) = leader.get(database.log.len()) {
        if entry.at + database.delay > now {
            break;
        }
        database.term = database.term.max(entry.term);
        database.log.push(Arc::clone(entry));
        has_changed = true;
    }
    has_changed
}
