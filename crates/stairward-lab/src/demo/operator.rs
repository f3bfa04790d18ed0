//! What operators do in a demo: edits of the settings, through a proxy that runs.

use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use stairward_checker::{HistoryEvent, Recorder};
use stairward_proxy::cluster::Clock;
use stairward_proxy::control::configuration::ConfigurationHandle;
use stairward_settings::{Change, Edit, SettingsOption, SettingsPath, Value};
use stairward_store::EditFailure;
use stairward_types::{AdminState, BackendId, ChangeId};

/// How long the operator waits for the settings of the proxy asked.
const DOCUMENT_PAUSE: Duration = Duration::from_millis(20);
/// Edits tried again after another one came first.
const CONFLICT_ATTEMPTS: u32 = 5;

/// Why an edit did not take effect.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No proxy runs.
    #[snafu(display("no proxy runs to take the edit"))]
    NoProxy,
    /// The proxy refused the edit, or its outcome is unknown.
    #[snafu(display("{source}"))]
    Edit {
        /// Why.
        source: EditFailure,
    },
}

/// Edits the settings and records what was accepted.
#[derive(Debug)]
pub struct Operator {
    recorder: Recorder,
    clock: Clock,
    next_change: u64,
}

impl Operator {
    /// An operator whose change ids begin after `seed`.
    #[must_use]
    pub const fn new(recorder: Recorder, clock: Clock, seed: u64) -> Self {
        Self {
            recorder,
            clock,
            next_change: seed,
        }
    }

    /// Sets one option.
    ///
    /// # Errors
    /// [`OperatorError`] when the edit did not take effect.
    pub async fn set(
        &mut self,
        proxy: Option<ConfigurationHandle>,
        path: SettingsPath,
        option: SettingsOption,
        value: Value,
    ) -> Result<(), OperatorError> {
        let proxy = proxy.context(NoProxySnafu)?;
        let change = Change::Set {
            path,
            option,
            value,
        };
        let mut attempt = 1;
        loop {
            let edit = self.edit(&proxy, change.clone()).await;
            // Recorded as of before the edit was sent: no proxy can have applied it earlier.
            let sent_at = self.clock.now();
            match proxy.edit(&edit).await {
                Ok(outcome) => {
                    let revision = outcome.revision;
                    let accepted = HistoryEvent::SettingsAccepted { revision };
                    self.recorder.record(sent_at, accepted);
                    return Ok(());
                }
                Err(EditFailure::Refused { .. }) if attempt < CONFLICT_ATTEMPTS => attempt += 1,
                Err(source) => return Err(source).context(EditSnafu),
            }
        }
    }

    async fn edit(&mut self, proxy: &ConfigurationHandle, change: Change) -> Edit {
        self.next_change += 1;
        Edit {
            change_id: ChangeId(self.next_change),
            based_on: newest_revision(proxy).await,
            changes: vec![change],
        }
    }

    /// Marks a back end.
    ///
    /// # Errors
    /// [`OperatorError`] when the edit did not take effect.
    pub async fn mark(
        &mut self,
        proxy: Option<ConfigurationHandle>,
        path: SettingsPath,
        backend: BackendId,
        state: AdminState,
    ) -> Result<(), OperatorError> {
        let marked = HistoryEvent::BackendMarked { backend, state };
        let sent_at = self.clock.now();
        let word = match state {
            AdminState::Joining => "joining",
            AdminState::Active => "active",
            AdminState::Leaving => "leaving",
        };
        let value = Value::from_argument(word);
        self.set(proxy, path, SettingsOption::AdminState, value)
            .await?;
        // A back end may be given work as soon as the mark may be in force, and must be given none
        // only once the mark surely is accepted.
        let marked_at = match state {
            AdminState::Leaving => self.clock.now(),
            AdminState::Joining | AdminState::Active => sent_at,
        };
        self.recorder.record(marked_at, marked);
        Ok(())
    }
}

async fn newest_revision(proxy: &ConfigurationHandle) -> stairward_types::Revision {
    loop {
        if let Some(document) = proxy.document() {
            return document.revision();
        }
        tokio::time::sleep(DOCUMENT_PAUSE).await;
    }
}
