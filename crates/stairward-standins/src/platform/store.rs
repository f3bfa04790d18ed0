//! The store as a state machine on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::Value;
use stairward_types::Time;

use super::event::{
    ObjectAnswer, ObjectSummary, StoreEffect, StoreEvent, StoreFault, StoreRequest,
};
use super::machine::MachineList;
use super::watches::{Watch, Watches};

/// Most objects.
const MAXIMUM_OBJECTS: usize = 10_000;

/// Longest watch; a longer one is cut to this.
const LONGEST_WATCH: Duration = Duration::from_secs(120);

/// Limits and delays of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreConfig {
    /// Readers at once, watches included.
    pub reader_limit: usize,
    /// What a refused reader is told to wait.
    pub retry_after: Duration,
    /// How long a change of the list of machines stays unseen.
    pub machine_lag: Duration,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            reader_limit: 32,
            retry_after: Duration::from_secs(1),
            machine_lag: Duration::from_secs(2),
        }
    }
}

#[derive(Debug, Clone)]
struct Object {
    version: u64,
    value: Value,
}

#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    down: bool,
    silent: bool,
    added: Duration,
    lose_next_reply: bool,
}

/// The platform's store.
#[derive(Debug)]
pub struct ObjectStore {
    config: StoreConfig,
    objects: BTreeMap<String, Object>,
    machines: MachineList,
    machine_lag: Duration,
    watches: Watches,
    delayed: BTreeMap<(Time, u64), StoreRequest>,
    unanswered: BTreeSet<u64>,
    faults: Faults,
}

impl ObjectStore {
    /// An empty store.
    #[must_use]
    pub fn new(config: StoreConfig) -> Self {
        Self {
            machine_lag: config.machine_lag,
            config,
            objects: BTreeMap::new(),
            machines: MachineList::default(),
            watches: Watches::default(),
            delayed: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            faults: Faults::default(),
        }
    }

    /// Takes one event in, after everything that was due until `now`.
    pub fn handle(&mut self, now: Time, event: StoreEvent) -> Vec<StoreEffect> {
        let mut effects = Vec::new();
        self.run_due(now, &mut effects);
        match event {
            StoreEvent::Request { number, request } => {
                self.accept(now, number, request, &mut effects);
            }
            StoreEvent::Abandoned { number } => {
                self.watches.remove(number);
                self.unanswered.remove(&number);
            }
            StoreEvent::Fault(fault) => self.fault(fault, &mut effects),
            StoreEvent::Wake => {}
        }
        effects
    }

    /// When to call [`ObjectStore::handle`] with [`StoreEvent::Wake`] next.
    #[must_use]
    pub fn wake_at(&self) -> Option<Time> {
        let delayed = self.delayed.first_key_value().map(|((at, _), _)| *at);
        delayed
            .into_iter()
            .chain(self.watches.next_deadline())
            .min()
    }

    /// An object's version; 0 when it does not exist. For tests and reports.
    #[must_use]
    pub fn version(&self, name: &str) -> u64 {
        self.objects.get(name).map_or(0, |object| object.version)
    }

    fn run_due(&mut self, now: Time, effects: &mut Vec<StoreEffect>) {
        while let Some(entry) = self.delayed.first_entry()
            && entry.key().0 <= now
        {
            let ((at, number), request) = entry.remove_entry();
            self.carry_out(at, number, request, effects);
        }
        for number in self.watches.take_expired(now) {
            let answer = ObjectAnswer::Unchanged;
            effects.push(StoreEffect::Answer { number, answer });
        }
    }

    fn accept(
        &mut self,
        now: Time,
        number: u64,
        request: StoreRequest,
        effects: &mut Vec<StoreEffect>,
    ) {
        if self.faults.silent {
            self.unanswered.insert(number);
        } else if self.faults.down {
            let answer = ObjectAnswer::Unavailable;
            effects.push(StoreEffect::Answer { number, answer });
        } else if request.is_read() && self.readers() >= self.config.reader_limit {
            let answer = ObjectAnswer::TooManyReaders {
                retry_after: self.config.retry_after,
            };
            effects.push(StoreEffect::Answer { number, answer });
        } else if self.faults.added > Duration::ZERO {
            let key = (now + self.faults.added, number);
            self.delayed.insert(key, request);
        } else {
            self.carry_out(now, number, request, effects);
        }
    }

    fn readers(&self) -> usize {
        let delayed = self.delayed.values();
        self.watches.len() + delayed.filter(|request| request.is_read()).count()
    }

    fn carry_out(
        &mut self,
        now: Time,
        number: u64,
        request: StoreRequest,
        effects: &mut Vec<StoreEffect>,
    ) {
        let answer = match request {
            StoreRequest::List => self.list(),
            StoreRequest::Get { name } => self.get(&name),
            StoreRequest::Watch {
                name,
                after,
                timeout,
            } => match self.watch(now, number, name, after, timeout) {
                Some(answer) => answer,
                None => return,
            },
            StoreRequest::Put {
                name,
                if_version,
                value,
            } => self.put(&name, if_version, value, effects),
            StoreRequest::Machines => ObjectAnswer::Machines(self.machines.visible(now).to_vec()),
            StoreRequest::SetMachines { machines } => {
                self.machines.replace(now, self.machine_lag, machines);
                ObjectAnswer::MachinesTaken
            }
        };
        let written = matches!(answer, ObjectAnswer::Written { .. });
        if written && std::mem::take(&mut self.faults.lose_next_reply) {
            effects.push(StoreEffect::Close { number });
        } else {
            effects.push(StoreEffect::Answer { number, answer });
        }
    }

    fn list(&self) -> ObjectAnswer {
        let objects = self.objects.iter();
        let summaries = objects.map(|(name, object)| ObjectSummary {
            name: name.clone(),
            version: object.version,
        });
        ObjectAnswer::Listed(summaries.collect())
    }

    fn get(&self, name: &str) -> ObjectAnswer {
        match self.objects.get(name) {
            None => ObjectAnswer::Missing,
            Some(object) => ObjectAnswer::Found {
                version: object.version,
                value: object.value.clone(),
            },
        }
    }

    fn watch(
        &mut self,
        now: Time,
        number: u64,
        name: String,
        after: u64,
        timeout: Duration,
    ) -> Option<ObjectAnswer> {
        if self.version(&name) > after {
            return Some(self.get(&name));
        }
        let deadline = now + timeout.min(LONGEST_WATCH);
        let watch = Watch {
            name,
            after,
            deadline,
        };
        self.watches.add(number, watch);
        None
    }

    fn put(
        &mut self,
        name: &str,
        if_version: u64,
        value: Value,
        effects: &mut Vec<StoreEffect>,
    ) -> ObjectAnswer {
        let version = self.version(name);
        if version != if_version {
            return ObjectAnswer::Conflict { version };
        }
        if version == 0 && self.objects.len() >= MAXIMUM_OBJECTS {
            return ObjectAnswer::Full;
        }
        let version = version + 1;
        self.objects
            .insert(name.to_owned(), Object { version, value });
        for number in self.watches.take_risen(name, version) {
            let answer = self.get(name);
            effects.push(StoreEffect::Answer { number, answer });
        }
        ObjectAnswer::Written { version }
    }

    fn fault(&mut self, fault: StoreFault, effects: &mut Vec<StoreEffect>) {
        match fault {
            StoreFault::Down => {
                self.faults.down = true;
                for number in self.watches.take_all() {
                    let answer = ObjectAnswer::Unavailable;
                    effects.push(StoreEffect::Answer { number, answer });
                }
            }
            StoreFault::Silent => {
                self.faults.silent = true;
                self.unanswered.extend(self.watches.take_all());
            }
            StoreFault::Slow(added) => self.faults.added = added,
            StoreFault::LoseNextReply => self.faults.lose_next_reply = true,
            StoreFault::MachineLag(lag) => self.machine_lag = lag,
            StoreFault::Heal => {
                self.faults = Faults::default();
                self.machine_lag = self.config.machine_lag;
                let unanswered = std::mem::take(&mut self.unanswered);
                effects.extend(
                    unanswered
                        .into_iter()
                        .map(|number| StoreEffect::Close { number }),
                );
            }
        }
    }
}
