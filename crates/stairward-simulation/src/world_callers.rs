//! Turns of callers, starts and stops of nodes and databases, and configuration changes.

use rand::RngExt as _;
use stairward_engine::{Event, Response, SessionId};
use stairward_types::{ApiKey, BackendId, BackendRole, GroupId, Time};

use crate::callers::{Caller, DATABASES, Step};
use crate::checker::{Invariant, ReadKind};
use crate::nodes::Node;
use crate::tenants::{Owner, key_of};
use crate::world::{
    CALLER_DELAY, CALLER_TIMEOUT, CONFIGURATION_LIMIT, MIN_CONNECTED_TIME, STORE_DELAY,
    SimulationEvent, World,
};

impl World {
    pub(crate) fn caller_of(&self, session: SessionId) -> Option<usize> {
        self.callers
            .iter()
            .position(|caller| caller.session == session.0 && caller.node.is_some())
    }

    pub(crate) fn pending_request(&self, caller: usize) -> (u64, u64) {
        let number = if self.callers[caller].is_waiting() {
            self.callers[caller].request_number()
        } else {
            0
        };
        (self.callers[caller].session, number)
    }

    pub(crate) fn caller_turn(&mut self, index: usize) {
        let now = self.now();
        if now >= Time::ZERO + self.options.duration || self.callers[index].is_waiting() {
            return;
        }
        let Some((node, incarnation)) = self.callers[index].node else {
            return self.connect(index);
        };
        if !self.is_running(node, incarnation) {
            return self.caller_disconnected(index, self.callers[index].session);
        }
        let caller = &mut self.callers[index];
        let step = caller.next_step(
            &mut self.random,
            now,
            self.options.operations,
            &mut self.last_statement_number,
            &mut self.checker,
        );
        let session = SessionId(caller.session);
        match step {
            Step::CloseSession => self.close_session(index),
            Step::Send(statement) => {
                let event = Event::Statement { session, statement };
                let event = SimulationEvent::Engine(node, incarnation, Box::new(event));
                self.queue.schedule(CALLER_DELAY, event);
                let (session, number) = self.pending_request(index);
                let timeout = SimulationEvent::CallerTimeout(index, session, number);
                self.queue.schedule(CALLER_TIMEOUT, timeout);
            }
        }
    }

    pub(crate) fn connect(&mut self, index: usize) {
        let running: Vec<_> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.is_running && node.engine.is_ready())
            .map(|(index, node)| (index, node.incarnation))
            .collect();
        let pause = self.random_duration(20, 120);
        self.queue
            .schedule(pause, SimulationEvent::CallerTurn(index));
        if running.is_empty() {
            return;
        }
        let node = running[self.random.random_range(0..running.len())];
        let database = self.random.random_range(0..DATABASES.len());
        self.sessions += 1;
        self.callers[index].start_session(self.sessions, node, database);
        let key = self.assign_key(index, node);
        let event = Event::SessionOpened {
            session: SessionId(self.sessions),
            database: GroupId::new(DATABASES[database].0).expect("valid name"),
            key,
        };
        let event = SimulationEvent::Engine(node.0, node.1, Box::new(event));
        self.queue.schedule(CALLER_DELAY, event);
    }

    /// Records the owner of a caller's new session. Returns its key, which the newest configuration
    /// introduced.
    fn assign_key(&mut self, index: usize, node: (usize, u64)) -> Option<ApiKey> {
        if self.options.tenants == 0 {
            return None;
        }
        let tenant = self.callers[index].number % self.options.tenants;
        let generation = self.store.configuration;
        let owner = Owner {
            tenant,
            generation,
            node,
        };
        self.tenants.owners.insert(self.sessions, owner);
        Some(key_of(tenant, generation))
    }

    /// A caller closes its session.
    pub(crate) fn close_session(&mut self, index: usize) {
        let session = SessionId(self.callers[index].session);
        if let Some((node, incarnation)) = self.callers[index].node.take() {
            let event = Event::SessionClosed { session };
            let event = SimulationEvent::Engine(node, incarnation, Box::new(event));
            self.queue.schedule(CALLER_DELAY, event);
        }
        let number = self.callers[index].number;
        self.callers[index] = Caller::new(number);
        let pause = self.random_duration(20, 200);
        self.queue
            .schedule(pause, SimulationEvent::CallerTurn(index));
    }

    pub(crate) fn caller_disconnected(&mut self, index: usize, session: u64) {
        if self.callers[index].session != session {
            return;
        }
        let number = self.callers[index].number;
        self.callers[index] = Caller::new(number);
        let pause = self.random_duration(20, 200);
        self.queue
            .schedule(pause, SimulationEvent::CallerTurn(index));
    }

    pub(crate) fn caller_receives_response(
        &mut self,
        index: usize,
        session: u64,
        response: &Response,
    ) {
        if self.callers[index].session != session {
            return;
        }
        let is_success = matches!(
            response.result,
            stairward_engine::ResponseResult::Completed { .. }
        );
        if is_success {
            self.succeeded += 1;
            self.record_served(index);
        } else {
            self.failed += 1;
        }
        let now = self.now();
        let continues = self.callers[index].receive_response(now, response, &mut self.checker);
        if !continues {
            return self.close_session(index);
        }
        let pause = self.random_duration(1, 40);
        self.queue
            .schedule(pause, SimulationEvent::CallerTurn(index));
    }

    /// Records when a statement that needs the leader was served.
    fn record_served(&mut self, caller: usize) {
        let now = self.now();
        let caller = &self.callers[caller];
        let (_, reads) = DATABASES[caller.database];
        if caller.awaits_read() && reads == ReadKind::Leader {
            self.leader_reads.push(now);
        }
        if caller.awaits_commit() {
            self.commits.push(now);
        }
    }

    /// Kills a node's process.
    pub(crate) fn kill_node(&mut self, index: usize) {
        self.nodes[index].is_running = false;
        let incarnation = self.nodes[index].incarnation;
        self.disconnect_node(index, incarnation);
        for database in self.group.databases.values_mut() {
            database
                .connections
                .retain(|connection_key, _| connection_key.incarnation != incarnation);
        }
        for caller in 0..self.callers.len() {
            if self.callers[caller].node == Some((index, incarnation)) {
                let session = self.callers[caller].session;
                self.queue.schedule(
                    CALLER_DELAY,
                    SimulationEvent::CallerDisconnected(caller, session),
                );
            }
        }
    }

    pub(crate) fn start_node(&mut self, index: usize) {
        self.last_incarnation += 1;
        let now = self.now();
        let is_partitioned = self.nodes[index].is_partitioned_from_store;
        let connected_since = self.nodes[index].connected_since.max(now);
        self.nodes[index] = Node::start(index, self.last_incarnation, now, &self.options);
        self.nodes[index].is_partitioned_from_store = is_partitioned;
        self.nodes[index].connected_since = connected_since;
        self.queue.schedule(
            STORE_DELAY,
            SimulationEvent::PollStore(index, self.last_incarnation),
        );
    }

    /// Stops a database's process, which closes its connections.
    pub(crate) fn stop_database(&mut self, id: &BackendId) {
        let Some(database) = self.group.databases.get_mut(id) else {
            return;
        };
        database.is_alive = false;
        for connection_key in database.drop_connections() {
            let node = self
                .nodes
                .iter()
                .position(|node| node.incarnation == connection_key.incarnation);
            if let Some(node) = node {
                let lost = Event::ConnectionLost {
                    connection: connection_key.connection,
                };
                let delay = self.delay(node, id);
                let lost =
                    SimulationEvent::Engine(node, connection_key.incarnation, Box::new(lost));
                self.queue.schedule(delay, lost);
            }
        }
    }

    /// Starts a database's process with its log, or makes an unresponsive database responsive again.
    pub(crate) fn start_database(&mut self, id: &BackendId) {
        let now = self.now();
        let newest = self.group.databases.values().map(|d| d.term).max();
        let Some(database) = self.group.databases.get_mut(id) else {
            return;
        };
        // A database that was only unresponsive has not restarted.
        let has_restarted = !database.is_alive;
        database.is_alive = true;
        database.is_silent = false;
        database.resume();
        database.leaving_since = None;
        database.start_count += u64::from(has_restarted);
        if let Some(cold) = self.options.cold.filter(|_| has_restarted) {
            database.cold_until = now + cold.duration;
            database.announced_cold_time = cold.duration;
            database.cold_request_times.clear();
        }
        if Some(database.term) < newest {
            database.role = BackendRole::Replica;
        }
        self.group.announce(id);
        self.notify_all_nodes();
    }

    pub(crate) fn check_configuration(&mut self, revision: u64, since: Time) {
        let now = self.now();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let is_connected = node.is_running
                && now >= node.connected_since + MIN_CONNECTED_TIME
                && !self.store.is_down
                && node.connected_since <= since;
            if is_connected && node.newest_configuration < revision {
                let text = format!("node {index} does not have configuration {revision} in force");
                self.checker
                    .record_violation(now, Invariant::Configuration, text);
            }
        }
    }

    /// The operator changes the configuration.
    pub(crate) fn change_configuration(&mut self) {
        self.store.operator_configuration += 1;
        self.store.configuration = self.store.operator_configuration;
        let (revision, now) = (self.store.configuration, self.now());
        self.tenants.acknowledged.insert(revision, now);
        self.notify_all_nodes();
        let check = SimulationEvent::CheckConfiguration(revision, now);
        self.queue.schedule(CONFIGURATION_LIMIT, check);
    }
}
