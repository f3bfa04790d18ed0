//! The events that a session waits for while a batch runs, and forwarding of responses.

use std::time::Duration;

use stairward_protocol::stream::OwnerMessage;
use stairward_types::Time;
use tokio::sync::watch;

use super::client::OUTPUT_BYTES;
use super::session::{OUTPUT_DELAY, Session, SessionResult};

/// An event that wakes a session while a batch runs.
pub(super) enum Wakeup {
    /// A message from the owner; `None` if the connection to it is lost.
    Owner(Option<OwnerMessage>),
    /// Buffered output is due to be written.
    FlushDue,
    /// The requested wake-up time has been reached.
    Timer,
    /// A new primary was found, or the known one was confirmed.
    NewPrimary,
    /// The client cancelled its statement.
    CancelRequested,
    /// The client closed its connection.
    ClientGone,
}

/// The retry delay of a refusal; `None` if the owner gave none.
pub(super) fn retry_after(milliseconds: u32) -> Option<Duration> {
    (milliseconds > 0).then(|| Duration::from_millis(milliseconds.into()))
}

impl Session {
    /// Waits for the next event of the running batch. `watch_client` also watches for the client
    /// closing its connection.
    pub(super) async fn next_wakeup(
        &mut self,
        wake_at: Time,
        primary: &mut watch::Receiver<u64>,
        watch_client: bool,
    ) -> SessionResult<Wakeup> {
        let now = self.service.cluster.clock.now();
        let has_output = !self.client.output.is_empty();
        let client = &mut self.client;
        let active = &mut self.active;
        let wakeup = tokio::select! {
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
            () = tokio::time::sleep(OUTPUT_DELAY), if has_output => Wakeup::FlushDue,
            () = client.wait_closed(), if watch_client => Wakeup::ClientGone,
        };
        Ok(wakeup)
    }

    /// Forwards part of a response to the client. Returns whether any response bytes of the running
    /// batch were written to the socket.
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

    /// Writes buffered output to the client, including the responses of earlier batches. Returns
    /// whether any of it belongs to the running batch.
    pub(super) async fn flush_output(&mut self) -> SessionResult<bool> {
        self.client.flush().await?;
        let running = self
            .active
            .as_ref()
            .and_then(|active| active.running.as_ref());
        Ok(running.is_some_and(|running| running.response_started))
    }
}
