//! Start, stop, pause and the other faults of a member.

use std::time::Duration;

use super::agenda::Timer;
use super::consensus::Role;
use super::event::{ClientRequest, Effect, Fault};
use super::locks::Locks;
use super::member::{Context, Member};
use super::message::Message;

/// Most things that are held for a frozen member; further messages between members are lost.
const MAXIMUM_HELD: usize = 10_000;

/// Something that arrived while a member was frozen.
#[derive(Debug, Clone)]
pub enum Held {
    /// A message from another member.
    Message(usize, Message),
    /// A timer.
    Timer(Timer),
    /// A client's request.
    Client(ClientRequest),
}

impl Member {
    /// Starts with the group.
    pub fn boot(&mut self, as_primary: bool, context: &mut Context<'_>) {
        self.heard_primary = context.now;
        self.postpone_election(context);
        if as_primary {
            self.voted_for = Some(self.place);
            self.start_leading(self.log.last(), context);
        }
        self.set_timer(self.election_deadline, Timer::Election, context);
    }

    /// Begins or ends a fault.
    pub fn fault(&mut self, fault: &Fault, context: &mut Context<'_>) {
        match fault {
            Fault::CutOff { .. } => {}
            Fault::Stop { .. } => self.stop(context),
            Fault::Pause { .. } => self.paused = self.up,
            Fault::Resume { .. } => self.resume(context),
            Fault::Slow { added, .. } => self.slowness = *added,
            Fault::Lag { lag, .. } => self.lag = *lag,
            Fault::LoseNextReply { .. } => self.lose_next_reply = true,
            Fault::Heal { .. } => self.heal(context),
        }
    }

    fn stop(&mut self, context: &mut Context<'_>) {
        if !self.up {
            return;
        }
        self.reset_all_connections(context);
        self.up = false;
        self.paused = false;
        self.held.clear();
        self.life += 1;
        self.role = Role::Follower;
        self.locks = Locks::default();
        self.slot_queue.clear();
        self.busy_slots = 0;
        self.report_availability(context);
    }

    fn start(&mut self, context: &mut Context<'_>) {
        self.up = true;
        self.store.apply_all();
        self.heard_primary = context.now;
        self.postpone_election(context);
        self.set_timer(self.election_deadline, Timer::Election, context);
        self.report_availability(context);
    }

    fn heal(&mut self, context: &mut Context<'_>) {
        self.slowness = Duration::ZERO;
        self.lose_next_reply = false;
        self.lag = self.config.replication_lag;
        if !self.up {
            self.start(context);
        }
        self.resume(context);
        if !self.leads() {
            self.store.apply_all();
        }
    }

    fn resume(&mut self, context: &mut Context<'_>) {
        if !self.paused {
            return;
        }
        self.paused = false;
        for held in std::mem::take(&mut self.held) {
            match held {
                Held::Message(from, message) => self.receive(from, message, context),
                Held::Timer(timer) => self.timer(self.life, timer, context),
                Held::Client(request) => self.client(request, context),
            }
        }
    }

    /// Keeps something for after a pause.
    pub fn hold(&mut self, held: Held) {
        let full = self.held.len() >= MAXIMUM_HELD;
        if !(full && matches!(held, Held::Message(..))) {
            self.held.push_back(held);
        }
    }

    fn report_availability(&self, context: &mut Context<'_>) {
        context.effects.push(Effect::Availability {
            member: self.backend.clone(),
            available: self.up,
        });
    }
}
