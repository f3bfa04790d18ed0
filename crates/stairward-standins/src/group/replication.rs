//! Asynchronous replication of the log (Raft, section 5.3, without waiting for a majority).

use std::sync::Arc;

use stairward_types::{Freshness, LogPosition, Term};

use super::agenda::Timer;
use super::consensus::Role;
use super::log::{Log, LogRecord, order};
use super::member::{Context, Member};
use super::message::Message;
use crate::Observation;
use crate::sql::{Change, Tables};

/// Most records in one message.
const MAXIMUM_RECORDS_PER_MESSAGE: usize = 512;

/// Length of a log record apart from its changes, in bytes.
const RECORD_HEADER_BYTES: u64 = 48;

/// Length of one change in a log record, in bytes.
const CHANGE_BYTES: u64 = 64;

/// How far a replica has come, as the primary knows.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// The last record known to match; `None` until the replica has said so.
    pub matched: Option<Freshness>,
    /// The last record sent.
    sent: Freshness,
    /// `sent` at the previous heartbeat.
    sent_before: Freshness,
}

impl Progress {
    /// A replica that is taken to hold the log up to a record but has not said so.
    #[must_use]
    pub const fn unproved(sent: Freshness) -> Self {
        Self {
            matched: None,
            sent,
            sent_before: sent,
        }
    }
}

impl Member {
    /// Commits changes as primary: writes a log record, applies it and sends it on its way.
    /// Returns the record's term and position.
    pub fn commit_changes(&mut self, changes: Vec<Change>, context: &mut Context<'_>) -> Freshness {
        let length = RECORD_HEADER_BYTES + CHANGE_BYTES * changes.len() as u64;
        let position = LogPosition(self.log.last().position.0 + length);
        let record = LogRecord {
            freshness: Freshness::new(self.term, position),
            changes: Arc::new(changes),
        };
        self.store.apply(&record);
        let freshness = record.freshness;
        self.log.append(record);
        if let Role::Leader(leadership) = &mut self.role {
            leadership.last_commit = context.now;
        }
        for replica in self.others() {
            self.send_records(replica, context);
        }
        freshness
    }

    /// Sends a heartbeat to every replica, with what it may have missed, and sets the next.
    pub fn heartbeat(&mut self, term: Term, context: &mut Context<'_>) {
        if !self.leads() || term != self.term {
            return;
        }
        for replica in self.others() {
            self.rewind_unanswered(replica);
            self.send_records(replica, context);
        }
        self.trim_log();
        let next = context.now + self.group.election.heartbeat_interval;
        self.set_timer(next, Timer::Heartbeat(term), context);
    }

    /// Sends again what a replica has not confirmed for a whole heartbeat.
    fn rewind_unanswered(&mut self, replica: usize) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.replicas.get_mut(&replica) else {
            return;
        };
        if let Some(matched) = progress.matched
            && order(matched) < order(progress.sent_before)
        {
            progress.sent = matched;
        }
        progress.sent_before = progress.sent;
    }

    /// Sends a replica the next records; none when there are none, as a heartbeat.
    fn send_records(&mut self, replica: usize, context: &mut Context<'_>) {
        let trim = self.held_by_all();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.replicas.get_mut(&replica) else {
            return;
        };
        let message = if order(progress.sent) < order(self.log.base()) {
            progress.sent = self.store.applied;
            Message::Snapshot {
                term: self.term,
                end: self.store.applied,
                tables: self.store.tables.clone(),
            }
        } else {
            let previous = progress.sent;
            let records = self.log.after(previous, MAXIMUM_RECORDS_PER_MESSAGE);
            if let Some(last) = records.last() {
                progress.sent = last.freshness;
            }
            Message::Append {
                term: self.term,
                previous,
                records,
                trim,
            }
        };
        context.outgoing.push((replica, message));
    }

    /// The last record that all members are known to hold; the log's beginning when unknown.
    fn held_by_all(&self) -> Freshness {
        let Role::Leader(leadership) = &self.role else {
            return self.log.base();
        };
        let progress = leadership.replicas.values();
        let matched = progress.map(|progress| progress.matched.unwrap_or(self.log.base()));
        matched
            .min_by_key(|matched| order(*matched))
            .unwrap_or_else(|| self.log.last())
    }

    fn trim_log(&mut self) {
        let bound = self.held_by_all();
        self.log.trim(bound);
    }

    /// As a replica: takes records from the primary.
    pub fn append(
        &mut self,
        from: usize,
        term: Term,
        previous: Freshness,
        records: Vec<LogRecord>,
        trim: Freshness,
        context: &mut Context<'_>,
    ) {
        if term < self.term {
            return self.refuse_old_primary(from, context);
        }
        self.follow(context);
        if !self.log.holds(previous) {
            let hint = self.log.last_before(previous);
            let reply = Message::Mismatch { term, hint };
            context.outgoing.push((from, reply));
            return;
        }
        let mut matched = previous;
        for record in records {
            let last_kept = matched;
            matched = record.freshness;
            if !self.log.holds(record.freshness) {
                self.discard_after(last_kept, context);
                self.take_record(record, context);
            }
        }
        if order(trim) <= order(self.store.applied) {
            self.log.trim(trim);
        }
        context
            .outgoing
            .push((from, Message::Appended { term, matched }));
    }

    fn refuse_old_primary(&self, from: usize, context: &mut Context<'_>) {
        let reply = Message::Mismatch {
            term: self.term,
            hint: self.log.last(),
        };
        context.outgoing.push((from, reply));
    }

    /// Appends a record to the log and applies it when its time has come.
    fn take_record(&mut self, record: LogRecord, context: &mut Context<'_>) {
        let due = context.now + self.lag;
        self.log.append(record.clone());
        self.store.defer(due, record);
        if due <= context.now {
            self.store.apply_due(context.now);
        } else {
            self.set_timer(due, Timer::Apply, context);
        }
    }

    /// Cuts off the records after one. When applied ones are among them, clients are disconnected,
    /// since what they have read is gone (as after PostgreSQL's `pg_rewind`).
    fn discard_after(&mut self, last_kept: Freshness, context: &mut Context<'_>) {
        let removed = self.log.truncate_after(last_kept);
        let Some(newest) = removed.first() else {
            return;
        };
        let discarded = newest.freshness;
        let undone = self.store.undo(&removed, last_kept);
        self.observe(
            Observation::CommitsLost {
                kept: last_kept,
                discarded,
            },
            context,
        );
        if undone {
            self.terminate_all_connections(context);
        }
    }

    /// As a replica: replaces everything by the primary's copy.
    pub fn install_snapshot(
        &mut self,
        from: usize,
        term: Term,
        end: Freshness,
        tables: Tables,
        context: &mut Context<'_>,
    ) {
        if term < self.term {
            return self.refuse_old_primary(from, context);
        }
        self.follow(context);
        if !self.log.holds(end) {
            self.log = Log::starting_at(end);
            self.store.restore(tables, end);
            self.terminate_all_connections(context);
        }
        let reply = Message::Appended { term, matched: end };
        context.outgoing.push((from, reply));
    }

    /// As primary: a replica's log matches up to a record.
    pub fn appended(
        &mut self,
        from: usize,
        term: Term,
        matched: Freshness,
        context: &mut Context<'_>,
    ) {
        let last = self.log.last();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.replicas.get_mut(&from) else {
            return;
        };
        if term != self.term {
            return;
        }
        let known = progress
            .matched
            .is_none_or(|old| order(old) < order(matched));
        if known {
            progress.matched = Some(matched);
        }
        if order(progress.sent) < order(last) {
            self.send_records(from, context);
        }
    }

    /// As primary: a replica lacks the record before those sent; goes back to one it may hold.
    pub fn mismatch(
        &mut self,
        from: usize,
        term: Term,
        hint: Freshness,
        context: &mut Context<'_>,
    ) {
        if term != self.term {
            return;
        }
        let candidate = self.log.last_up_to(hint);
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.replicas.get_mut(&from) else {
            return;
        };
        progress.sent = if order(hint) < order(self.log.base()) {
            hint
        } else {
            candidate
        };
        progress.sent_before = progress.sent;
        self.send_records(from, context);
    }
}
