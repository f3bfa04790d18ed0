//! What a session listens to while a batch runs, and passing answers on.

use std::time::Duration;

use stairward_protocol::stream::OwnerMessage;
use stairward_types::Time;
use tokio::sync::watch;

use super::client::OUTPUT_BYTES;
use super::session::{OUTPUT_DELAY, Session, SessionResult};

/// What a session heard while a batch runs.
pub(super) enum Wakeup {
    /// A message of the owner; `None` when the connection to it is lost.
    Owner(Option<OwnerMessage>),
    /// Gathered answers are due to be written.
    FlushDue,
    /// The awaited moment has come.
    Timer,
    /// A primary was learnt or found alive.
    NewPrimary,
    /// The caller cancels its statement.
    CancelRequested,
    /// The caller closed its connection.
    ClientGone,
}

/// How long a refusal advises to wait; `None` when it doesn't say.
pub(super) fn retry_after(milliseconds: u32) -> Option<Duration> {
    (milliseconds > 0).then(|| Duration::from_millis(milliseconds.into()))
}

impl Session {
    /// Waits for the next thing that concerns the batch under way.
    pub(super) async fn next_wakeup(
        &mut self,
        wake_at: Time,
        primary: &mut watch::Receiver<u64>,
        watch_client: bool,
    ) -> SessionResult<Wakeup> {
        let now = self.service.cluster.clock.now();
        let has_answers = !self.client.output.is_empty();
        let client = &mut self.client;
        let active = &mut self.active;
        let event = tokio::select! {
            biased;
            message = async {
                match active {
                    Some(active) => active.stream.receive().await,
                    None => std::future::pending().await,
                }
            } => Wakeup::Owner(message),
            changed = self.registration.cancel_requests.changed() => {
                if changed.is_err() {
                    std::future::pending::<()>().await;
                }
                Wakeup::CancelRequested
            }
            changed = primary.changed() => {
                if changed.is_err() {
                    std::future::pending::<()>().await;
                }
                Wakeup::NewPrimary
            }
            () = tokio::time::sleep(wake_at.since(now)), if wake_at != Time::NEVER => Wakeup::Timer,
            () = tokio::time::sleep(OUTPUT_DELAY), if has_answers => Wakeup::FlushDue,
            () = client.wait_closed(), if watch_client => Wakeup::ClientGone,
        };
        Ok(event)
    }

    /// Passes answers on. Returns whether any of the batch were written to the caller.
    pub(super) async fn forward_response(&mut self, messages: &[u8]) -> SessionResult<bool> {
        let Some(active) = &mut self.active else {
            return Ok(false);
        };
        if let Some(running) = &mut active.running {
            running.filter.forward(messages, &mut self.client.output);
            running.response_started = true;
        }
        let mut response_started = false;
        if self.client.output.len() >= OUTPUT_BYTES {
            response_started = self.flush_output().await?;
        }
        if let Some(active) = &mut self.active {
            active.credit_bytes(messages.len());
        }
        Ok(response_started)
    }

    /// Writes gathered answers to the caller, those of earlier batches included. Returns whether
    /// some were of the batch under way.
    pub(super) async fn flush_output(&mut self) -> SessionResult<bool> {
        self.client.flush().await?;
        let running = self
            .active
            .as_ref()
            .and_then(|active| active.running.as_ref());
        Ok(running.is_some_and(|running| running.response_started))
    }
}
