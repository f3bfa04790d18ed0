//! Replies of databases on their way to a node: a connection keeps their order, and a database may send a copy
//! of any of them again.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt as _;
use stairward_engine::{BackendCommand, BackendReply, Event};
use stairward_types::{BackendId, Time};

use crate::database::{ConnectionKey, is_client_statement};
use crate::world::{SimulationEvent, World};

/// A repeated reply follows its original within this time, in milliseconds.
const MAX_REPETITION_DELAY_MS: u64 = 4_000;
/// A reply is repeated at most this many times.
const MAX_REPETITIONS: u32 = 3;

/// A reply on its way from a database to a node.
#[derive(Debug, Clone)]
pub(crate) struct ReplyInTransit {
    pub node: usize,
    pub connection: ConnectionKey,
    pub backend: BackendId,
    pub reply: BackendReply,
}

impl ReplyInTransit {
    fn into_event(self) -> SimulationEvent {
        let event = Event::Reply {
            connection: self.connection.connection,
            reply: self.reply,
        };
        SimulationEvent::Engine(self.node, self.connection.incarnation, Box::new(event))
    }
}

/// The order of a connection's replies.
#[derive(Debug, Clone, Default)]
pub struct ReplyOrder {
    /// When the last reply arrives: later ones do not arrive before it.
    last_arrival: Time,
    /// Whether the reply to a commit waits for replicas. Until then the connection runs nothing else.
    awaits_replicas: bool,
    /// Commands that have arrived meanwhile.
    waiting: VecDeque<BackendCommand>,
}

/// Whether a command occupies a slot of the database, so that it may be refused because all are in use.
fn may_be_busy(command: &BackendCommand) -> bool {
    let is_commit = matches!(command, BackendCommand::Run { text, .. } if text == "COMMIT");
    let needs_slot = is_client_statement(command)
        || matches!(
            command,
            BackendCommand::Begin { .. } | BackendCommand::QueryStatus
        );
    needs_slot && !is_commit
}

impl World {
    /// Whether a database refuses a command because all its slots are in use.
    pub(crate) fn is_refused_as_busy(&mut self, command: &BackendCommand) -> bool {
        let percent = self.options.busy_percent;
        percent > 0 && may_be_busy(command) && self.random.random_range(0..100) < percent
    }

    fn reply_order(
        &mut self,
        backend: &BackendId,
        connection: ConnectionKey,
    ) -> Option<&mut ReplyOrder> {
        let database = self.group.databases.get_mut(backend)?;
        let state = database.connections.get_mut(&connection)?;
        Some(&mut state.replies)
    }

    /// Sends a reply after a delay, but not before earlier replies of the connection.
    pub(crate) fn send_reply(&mut self, delay: Duration, reply: ReplyInTransit) {
        let mut arrival = self.now() + delay;
        if let Some(order) = self.reply_order(&reply.backend, reply.connection) {
            arrival = arrival.max(order.last_arrival);
            order.last_arrival = arrival;
        }
        if self.options.repeated_reply_percent > 0 {
            self.schedule_repetitions(arrival, &reply);
        }
        self.queue.schedule_at(arrival, reply.into_event());
    }

    /// Each repetition arrives after the original, and after or before other replies.
    fn schedule_repetitions(&mut self, arrival: Time, reply: &ReplyInTransit) {
        let percent = self.options.repeated_reply_percent;
        let mut repetitions = 0;
        while repetitions < MAX_REPETITIONS && self.random.random_range(0..100) < percent {
            repetitions += 1;
            let delay = self.random_duration(1, MAX_REPETITION_DELAY_MS);
            let repeat = SimulationEvent::RepeatReply(Box::new(reply.clone()));
            self.queue.schedule_at(arrival + delay, repeat);
        }
    }

    /// A copy of an earlier reply arrives if its connection still exists and works.
    pub(crate) fn repeat_reply(&mut self, reply: ReplyInTransit) {
        let can_arrive = self.can_reach(reply.node, &reply.backend)
            && !self.stalled.contains(&reply.connection)
            && self.reply_order(&reply.backend, reply.connection).is_some();
        if can_arrive {
            self.repeated_replies += 1;
            self.queue.schedule(Duration::ZERO, reply.into_event());
        }
    }

    /// Keeps a command for later if its connection still waits for the replicas of an earlier commit. Returns whether
    /// it does.
    pub(crate) fn is_postponed(
        &mut self,
        backend: &BackendId,
        connection: ConnectionKey,
        command: &BackendCommand,
    ) -> bool {
        let order = self.reply_order(backend, connection);
        let Some(order) = order.filter(|order| order.awaits_replicas) else {
            return false;
        };
        order.waiting.push_back(command.clone());
        true
    }

    /// Sets whether a connection waits for the replicas of a commit, and runs what has arrived meanwhile once it no
    /// longer does.
    pub(crate) fn set_awaits_replicas(&mut self, reply: &ReplyInTransit, awaits_replicas: bool) {
        let (backend, connection) = (&reply.backend, reply.connection);
        let Some(order) = self.reply_order(backend, connection) else {
            return;
        };
        order.awaits_replicas = awaits_replicas;
        if awaits_replicas {
            return;
        }
        for command in std::mem::take(&mut order.waiting) {
            self.run_command(reply.node, connection, backend, &command);
        }
    }
}
