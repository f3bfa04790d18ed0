//! The thread that runs a group's state machine in real time.
//!
//! A thread of its own, since the runtime's timers have a resolution of a millisecond and
//! statements take less.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};

use stairward_types::{BackendId, Freshness, Time};
use tokio::sync::{mpsc as tokio_mpsc, oneshot, watch};

use crate::ConnectionNumber;
use crate::group::{ClientRequest, Effect, Event, Group, Reply};

use super::handle::{DatabaseGroupConfig, Observer};

/// Replies that may wait for a connection's task. It has one request outstanding at a time, and
/// the server may end it besides.
const REPLY_QUEUE: usize = 8;

/// Longest sleep without a look at the agenda.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// What the thread is asked to do.
#[derive(Debug)]
pub enum Command {
    /// Feed the group an event.
    Event(Event),
    /// Open a client's connection.
    Open {
        /// The member.
        member: BackendId,
        /// The connection.
        connection: ConnectionNumber,
        /// Its request to open.
        request: ClientRequest,
        /// Where its replies go.
        replies: tokio_mpsc::Sender<Reply>,
    },
    /// Tell which member leads.
    Primary(oneshot::Sender<Option<BackendId>>),
    /// Tell how fresh a member is.
    Freshness(BackendId, oneshot::Sender<Option<Freshness>>),
    /// End.
    Shutdown,
}

/// Sends commands to the thread. The queue is bounded by the open sockets: each has at most one
/// request outstanding besides its closing.
#[derive(Debug, Clone)]
pub struct DriverHandle {
    commands: mpsc::Sender<Command>,
    last_connection: Arc<AtomicU64>,
}

impl DriverHandle {
    /// Sends a command. After the shutdown it is dropped, and whoever waits for its reply sees a
    /// closed channel.
    pub fn send(&self, command: Command) {
        drop(self.commands.send(command));
    }

    /// Sends a client's request.
    pub fn request(&self, member: &BackendId, request: ClientRequest) {
        self.send(Command::Event(Event::Client {
            member: member.clone(),
            request,
        }));
    }

    /// Opens a connection; its replies arrive on the returned channel.
    pub fn open(
        &self,
        member: &BackendId,
        user: String,
        settings: BTreeMap<String, String>,
    ) -> (ConnectionNumber, tokio_mpsc::Receiver<Reply>) {
        let number = self.last_connection.fetch_add(1, Ordering::Relaxed) + 1;
        let connection = ConnectionNumber(number);
        let (replies, receiver) = tokio_mpsc::channel(REPLY_QUEUE);
        self.send(Command::Open {
            member: member.clone(),
            connection,
            request: ClientRequest::Open {
                connection,
                user,
                settings,
            },
            replies,
        });
        (connection, receiver)
    }
}

/// The thread's state.
pub struct Driver {
    group: Group,
    started: Instant,
    replies: BTreeMap<ConnectionNumber, tokio_mpsc::Sender<Reply>>,
    available: BTreeMap<BackendId, watch::Sender<bool>>,
    observer: Option<Observer>,
}

impl Driver {
    /// Starts the thread. Returns its handle, and for each member whether it takes connections.
    ///
    /// # Errors
    /// When the system refuses a thread.
    pub fn spawn(
        config: DatabaseGroupConfig,
    ) -> io::Result<(DriverHandle, Vec<watch::Receiver<bool>>)> {
        let (commands, queue) = mpsc::channel();
        let mut available = BTreeMap::new();
        let mut watches = Vec::new();
        for member in &config.group.members {
            let (sender, receiver) = watch::channel(true);
            available.insert(member.backend.clone(), sender);
            watches.push(receiver);
        }
        let driver = Self {
            group: Group::new(&config.group, config.seed, Time::ZERO),
            started: Instant::now(),
            replies: BTreeMap::new(),
            available,
            observer: config.observer,
        };
        std::thread::Builder::new()
            .name(format!("group {}", config.group.database))
            .spawn(move || driver.run(&queue))?;
        let handle = DriverHandle {
            commands,
            last_connection: Arc::default(),
        };
        Ok((handle, watches))
    }

    fn run(mut self, queue: &mpsc::Receiver<Command>) {
        loop {
            match queue.recv_timeout(self.time_to_wake()) {
                Ok(Command::Shutdown) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(command) => self.carry_out(command),
                Err(RecvTimeoutError::Timeout) => self.feed(Event::Wake),
            }
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }

    fn time_to_wake(&self) -> Duration {
        let wake = self.group.wake_at();
        let rest = wake.map_or(LONGEST_SLEEP, |wake| wake.since(self.now()));
        rest.min(LONGEST_SLEEP)
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.feed(event),
            Command::Open {
                member,
                connection,
                request,
                replies,
            } => {
                self.replies.insert(connection, replies);
                self.feed(Event::Client { member, request });
            }
            // Whoever asked may have gone meanwhile.
            Command::Primary(reply) => drop(reply.send(self.group.primary().cloned())),
            Command::Freshness(member, reply) => drop(reply.send(self.group.freshness(&member))),
            Command::Shutdown => {}
        }
    }

    fn feed(&mut self, event: Event) {
        if let Event::Client {
            request: ClientRequest::Close { connection },
            ..
        } = &event
        {
            self.replies.remove(connection);
        }
        let now = self.now();
        for effect in self.group.handle(now, event) {
            self.apply(effect);
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Reply {
                connection, reply, ..
            } => self.pass_on(connection, reply),
            Effect::Availability { member, available } => {
                if let Some(sender) = self.available.get(&member) {
                    sender.send_replace(available);
                }
            }
            Effect::Observed(truth) => {
                if let Some(observer) = &self.observer {
                    observer(truth);
                }
            }
        }
    }

    fn pass_on(&mut self, connection: ConnectionNumber, reply: Reply) {
        let last = matches!(
            reply,
            Reply::Refused(_) | Reply::Terminated(_) | Reply::Reset
        );
        if let Some(replies) = self.replies.get(&connection)
            && replies.try_send(reply).is_err()
        {
            self.replies.remove(&connection);
        }
        if last {
            self.replies.remove(&connection);
        }
    }
}
