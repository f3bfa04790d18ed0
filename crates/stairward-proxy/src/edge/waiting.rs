//! What a session listens to while a batch runs, and passing answers on.

use std::time::Duration;

use stairward_protocol::stream::OwnerMessage;
use stairward_types::Time;
use tokio::sync::watch;

use super::client::OUTPUT_BYTES;
use super::session::{Flow, GATHER_TIME, Session};

/// What a session heard while a batch runs.
pub(super) enum Heard {
    /// A message of the owner; `None` when the connection to it is lost.
    Owner(Option<OwnerMessage>),
    /// Gathered answers are due to be written.
    Flush,
    /// The awaited moment has come.
    Tick,
    /// A primary was learnt or found alive.
    PrimaryLearnt,
    /// The caller cancels its statement.
    Cancelled,
    /// The caller closed its connection.
    CallerGone,
}

/// How long a refusal advises to wait; `None` when it doesn't say.
pub(super) fn retry_after(milliseconds: u32) -> Option<Duration> {
    (milliseconds > 0).then(|| Duration::from_millis(milliseconds.into()))
}

impl Session {
    /// Waits for the next thing that concerns the batch under way.
    pub(super) async fn hear(
        &mut self,
        wake: Time,
        primary: &mut watch::Receiver<u64>,
        watch_caller: bool,
    ) -> Flow<Heard> {
        let now = self.service.cluster.clock.now();
        let has_answers = !self.client.output.is_empty();
        let client = &mut self.client;
        let active = &mut self.active;
        let heard = tokio::select! {
            biased;
            message = async {
                match active {
                    Some(active) => active.stream.receive().await,
                    None => std::future::pending().await,
                }
            } => Heard::Owner(message),
            changed = self.registration.cancels.changed() => {
                if changed.is_err() {
                    std::future::pending::<()>().await;
                }
                Heard::Cancelled
            }
            changed = primary.changed() => {
                if changed.is_err() {
                    std::future::pending::<()>().await;
                }
                Heard::PrimaryLearnt
            }
            () = tokio::time::sleep(wake.since(now)), if wake != Time::NEVER => Heard::Tick,
            () = tokio::time::sleep(GATHER_TIME), if has_answers => Heard::Flush,
            () = client.closed(), if watch_caller => Heard::CallerGone,
        };
        Ok(heard)
    }

    /// Passes answers on. Returns whether any of the batch were written to the caller.
    pub(super) async fn pass_answer(&mut self, messages: &[u8]) -> Flow<bool> {
        let Some(active) = &mut self.active else {
            return Ok(false);
        };
        if let Some(running) = &mut active.running {
            running.filter.pass(messages, &mut self.client.output);
            running.gathered = true;
        }
        let mut begun = false;
        if self.client.output.len() >= OUTPUT_BYTES {
            begun = self.flush_answers().await?;
        }
        if let Some(active) = &mut self.active {
            active.take_bytes(messages.len());
        }
        Ok(begun)
    }

    /// Writes gathered answers to the caller, those of earlier batches included. Returns whether
    /// some were of the batch under way.
    pub(super) async fn flush_answers(&mut self) -> Flow<bool> {
        self.client.flush().await?;
        let running = self
            .active
            .as_ref()
            .and_then(|active| active.running.as_ref());
        Ok(running.is_some_and(|running| running.gathered))
    }
}
