//! The open-loop schedule of a run: who asks for what and when, the same for the same seed.
//!
//! Arrivals are a Poisson process. They don't wait for answers, so that a slow answer delays no
//! later arrival and the waiting shows up as latency.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

use crate::site::{OperationKind, Site};

/// Number of a request within a run, counted from one.
pub type RequestNumber = u64;

/// One request to come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Its number, in the order of arrival.
    pub number: RequestNumber,
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// The session it belongs to.
    pub session: u32,
    /// Its operation, by position in the site's list.
    pub operation: usize,
    /// What it does.
    pub action: Action,
    /// Whether the session reconnects to another proxy first.
    pub reconnect: Option<Reconnect>,
}

/// What a request does. Versions and records are numbered after the request that writes them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Reads a list that all sessions share.
    ReadShared {
        /// Which list.
        list: u32,
    },
    /// Reads a row of this session.
    ReadOwn {
        /// Which of the session's rows.
        row: u32,
    },
    /// Reads a record that this session inserted.
    ReadRecord {
        /// The request that inserted it.
        record: RequestNumber,
    },
    /// Writes a row of this session; the version is the request's number.
    WriteOwn {
        /// Which of the session's rows.
        row: u32,
    },
    /// Draws on the session's balance and inserts a record numbered after the request.
    Transaction,
}

impl Action {
    /// Whether the action changes data.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::WriteOwn { .. } | Self::Transaction)
    }
}

/// How a session comes back on another proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reconnect {
    /// Whether it presents the session token it was given.
    pub with_token: bool,
}

/// An endless schedule; stop it at the run's length.
#[derive(Debug)]
pub struct Schedule<'site> {
    site: &'site Site,
    random: ChaCha12Rng,
    requests_per_second: f64,
    sessions: u32,
    now: Duration,
    next_number: RequestNumber,
    read_back: BTreeMap<u32, Action>,
    last_record: BTreeMap<u32, RequestNumber>,
}

impl<'site> Schedule<'site> {
    /// The schedule of a site for a seed, at the site's own rate and number of sessions.
    #[must_use]
    pub fn new(site: &'site Site, seed: u64) -> Self {
        Self {
            site,
            random: ChaCha12Rng::seed_from_u64(seed),
            requests_per_second: site.traffic.requests_per_second,
            sessions: site.traffic.sessions,
            now: Duration::ZERO,
            next_number: 1,
            read_back: BTreeMap::new(),
            last_record: BTreeMap::new(),
        }
    }

    /// Overrides the site's rate and number of sessions.
    #[must_use]
    pub const fn with_load(mut self, requests_per_second: f64, sessions: u32) -> Self {
        self.requests_per_second = requests_per_second;
        self.sessions = sessions;
        self
    }

    fn advance_clock(&mut self) {
        let uniform: f64 = self.random.random();
        let seconds = -(1.0 - uniform).ln() / self.requests_per_second;
        self.now += Duration::from_secs_f64(seconds);
    }

    fn draw_operation(&mut self) -> usize {
        let mut remaining: f64 = self.random.random();
        for (position, operation) in self.site.operations.iter().enumerate() {
            remaining -= operation.share;
            if remaining < 0.0 {
                return position;
            }
        }
        self.site.operations.len() - 1
    }

    fn draw_action(&mut self, session: u32, kind: OperationKind) -> Action {
        let traffic = &self.site.traffic;
        match kind {
            OperationKind::ReadShared => Action::ReadShared {
                list: self.random.random_range(0..traffic.shared_lists),
            },
            OperationKind::ReadOwn => self.draw_own_read(session),
            OperationKind::WriteOwn => Action::WriteOwn {
                row: self.random.random_range(0..traffic.rows_per_session),
            },
            OperationKind::Transaction => Action::Transaction,
        }
    }

    fn draw_own_read(&mut self, session: u32) -> Action {
        let row = self
            .random
            .random_range(0..self.site.traffic.rows_per_session);
        match self.last_record.get(&session) {
            Some(&record) if self.random.random_bool(0.5) => Action::ReadRecord { record },
            _ => Action::ReadOwn { row },
        }
    }

    fn draw_reconnect(&mut self) -> Option<Reconnect> {
        let traffic = &self.site.traffic;
        let roams = self.random.random_bool(traffic.roam_share);
        let with_token = self.random.random_bool(traffic.roam_with_token_share);
        roams.then_some(Reconnect { with_token })
    }

    fn plan_read_back(&mut self, session: u32, number: RequestNumber, action: Action) {
        if action == Action::Transaction {
            self.last_record.insert(session, number);
        }
        let follow_up = match action {
            Action::WriteOwn { row } => Action::ReadOwn { row },
            Action::Transaction => Action::ReadRecord { record: number },
            _ => return,
        };
        if self.random.random_bool(self.site.traffic.read_back_share) {
            self.read_back.insert(session, follow_up);
        }
    }

    fn operation_of_kind(&self, kind: OperationKind) -> Option<usize> {
        self.site
            .operations
            .iter()
            .position(|operation| operation.kind == kind)
    }
}

impl Iterator for Schedule<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        self.advance_clock();
        let session = self.random.random_range(0..self.sessions);
        let drawn = self.draw_operation();
        let kind = self.site.operations[drawn].kind;
        let number = self.next_number;
        let (operation, action) = match self.read_back.remove(&session) {
            Some(action) => (
                self.operation_of_kind(OperationKind::ReadOwn)
                    .unwrap_or(drawn),
                action,
            ),
            None => (drawn, self.draw_action(session, kind)),
        };
        self.plan_read_back(session, number, action);
        self.next_number += 1;
        Some(PlannedRequest {
            number,
            at: self.now,
            session,
            operation,
            action,
            reconnect: self.draw_reconnect(),
        })
    }
}
