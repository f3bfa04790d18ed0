//! What the rest of a node uses the configuration driver through.

use std::sync::Arc;

use snafu::Snafu;
use stairward_membership::configuration::{NotReadyReason, Readiness, SourceAge, SourceStatus};
use stairward_protocol::call::CallReply;
use stairward_protocol::settings::SettingsExchange;
use stairward_settings::{Edit, SettingsDocument};
use stairward_store::{EditFailure, EditOutcome, Machine, PlatformClient, edit_settings};
use stairward_types::{LogEvent, NodeId, ResultCode, Revision, Time};
use tokio::sync::{mpsc, oneshot, watch};

use super::driver::{DriverOutputs, Input};
use crate::cluster::Cluster;

/// Requests that may wait for the driver; more are refused.
const INPUT_QUEUE_LENGTH: usize = 1_024;

/// What is known of the settings' state on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// The revision in force; 0 for none.
    pub revision: Revision,
    /// Whether the node may serve.
    pub readiness: Readiness,
    /// How long ago the revision was known to be the newest in the store.
    pub source_age: SourceAge,
    /// Whether newer settings may be in force elsewhere.
    pub source: SourceStatus,
    /// Whether this node reads the store.
    pub is_watcher: bool,
}

/// The driver's latest word, with a moment in place of an age.
#[derive(Debug, Clone, Copy)]
pub(super) struct PublishedStatus {
    pub(super) readiness: Readiness,
    pub(super) source: SourceStatus,
    pub(super) store_read_at: Option<Time>,
}

impl Default for PublishedStatus {
    fn default() -> Self {
        Self {
            readiness: Readiness::NotReady(NotReadyReason::NoSettings),
            source: SourceStatus::CutOff,
            store_read_at: None,
        }
    }
}

/// The driver is not running any more.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the configuration driver has stopped"))]
pub struct DriverStopped;

/// Asks and edits through the configuration driver. Cheap to clone.
#[derive(Clone)]
pub struct ConfigurationHandle {
    cluster: Cluster,
    platform: Arc<PlatformClient>,
    inputs: mpsc::Sender<Input>,
    document: watch::Receiver<Option<Arc<SettingsDocument>>>,
    status: watch::Receiver<PublishedStatus>,
    is_watcher: watch::Receiver<bool>,
    machines: watch::Receiver<Arc<Vec<Machine>>>,
}

/// Makes a handle and the driver's ends of its channels.
pub(super) fn connect(
    cluster: Cluster,
    platform: Arc<PlatformClient>,
) -> (ConfigurationHandle, mpsc::Receiver<Input>, DriverOutputs) {
    let (inputs, input_receiver) = mpsc::channel(INPUT_QUEUE_LENGTH);
    let outputs = DriverOutputs::default();
    let handle = ConfigurationHandle {
        cluster,
        platform,
        inputs,
        document: outputs.document.subscribe(),
        status: outputs.status.subscribe(),
        is_watcher: outputs.is_watcher.subscribe(),
        machines: outputs.machines.subscribe(),
    };
    (handle, input_receiver, outputs)
}

impl ConfigurationHandle {
    /// The settings in force with their history; none before the first.
    #[must_use]
    pub fn document(&self) -> Option<Arc<SettingsDocument>> {
        self.document.borrow().clone()
    }

    /// What is known of the settings' state.
    #[must_use]
    pub fn status(&self) -> ConfigurationStatus {
        let published = *self.status.borrow();
        let now = self.cluster.clock.now();
        ConfigurationStatus {
            revision: self.cluster.settings().revision,
            readiness: published.readiness,
            source_age: published.store_read_at.map(|at| now.since(at)),
            source: published.source,
            is_watcher: *self.is_watcher.borrow(),
        }
    }

    /// Whether the node may serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.status.borrow().readiness == Readiness::Ready
    }

    /// Waits until the node may serve callers.
    ///
    /// # Errors
    /// [`DriverStopped`] when it never will.
    pub async fn wait_until_ready(&self) -> Result<(), DriverStopped> {
        self.status
            .clone()
            .wait_for(|status| status.readiness == Readiness::Ready)
            .await
            .map(|_| ())
            .map_err(|_| DriverStopped)
    }

    /// Follows the platform's list of machines, as far as this node reads it.
    #[must_use]
    pub fn watch_machines(&self) -> watch::Receiver<Arc<Vec<Machine>>> {
        self.machines.clone()
    }

    /// Tells of a peer's revision learnt from a membership datagram. Dropped when the driver is
    /// busy, since the next datagram will tell it again.
    pub fn note_peer_revision(&self, from: NodeId, revision: Revision) {
        let _ = self.inputs.try_send(Input::Heard { from, revision });
    }

    /// Answers a peer's [`stairward_protocol::call::CallRequest::ExchangeSettings`].
    pub async fn handle_exchange(&self, from: NodeId, exchange: SettingsExchange) -> CallReply {
        let (reply, answer) = oneshot::channel();
        let input = Input::Asked {
            from,
            exchange,
            reply,
        };
        let busy = CallReply::Refused {
            code: ResultCode::Overloaded.number(),
        };
        if self.inputs.try_send(input).is_err() {
            return busy;
        }
        answer.await.map_or(busy, CallReply::Settings)
    }

    /// Makes an edit in the store and puts it in force here; peers are told at once.
    ///
    /// # Errors
    /// [`EditFailure`], which tells what is certain.
    pub async fn edit(&self, edit: &Edit) -> Result<EditOutcome, EditFailure> {
        let result = edit_settings(&self.platform, edit).await;
        match &result {
            Ok(outcome) => {
                tracing::info!(
                    event = LogEvent::EditAccepted.number(),
                    change_id = edit.change_id.0,
                    revision = outcome.revision.0,
                    "an edit of the settings was accepted"
                );
                self.put_in_force(outcome.document.clone()).await;
            }
            Err(error) => tracing::warn!(
                event = LogEvent::EditRefused.number(),
                change_id = edit.change_id.0,
                %error,
                "an edit of the settings was refused"
            ),
        }
        result
    }

    async fn put_in_force(&self, document: SettingsDocument) {
        let (done, applied) = oneshot::channel();
        let input = Input::Edited {
            document: Box::new(document),
            done,
        };
        if self.inputs.send(input).await.is_ok() {
            let _ = applied.await;
        }
    }
}
