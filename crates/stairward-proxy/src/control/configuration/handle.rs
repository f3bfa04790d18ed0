//! The handle through which the rest of a node uses the configuration driver.

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

/// Capacity of the driver's input queue.
const INPUT_QUEUE_LENGTH: usize = 1_024;

/// The state of the settings on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// The current revision; 0 for none.
    pub revision: Revision,
    /// Whether the node may serve clients.
    pub readiness: Readiness,
    /// Time since the revision was last known to be the newest in the store.
    pub source_age: SourceAge,
    /// Whether newer settings may be in effect on other nodes.
    pub source: SourceStatus,
    /// Whether this node reads the store.
    pub is_watcher: bool,
}

/// The state last published by the driver, with a timestamp in place of an age.
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

/// The driver has stopped.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the configuration driver has stopped"))]
pub struct DriverStopped;

/// Reads and edits the settings through the configuration driver. Cheap to clone.
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

/// Creates a handle and the driver's ends of its channels.
pub(super) fn create_handle(
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
    /// The current settings with their history; none before the first.
    #[must_use]
    pub fn document(&self) -> Option<Arc<SettingsDocument>> {
        self.document.borrow().clone()
    }

    /// The state of the settings.
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

    /// Whether the node may serve clients.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.status.borrow().readiness == Readiness::Ready
    }

    /// Waits until the node may serve clients.
    ///
    /// # Errors
    /// [`DriverStopped`] when the driver stops first.
    pub async fn wait_until_ready(&self) -> Result<(), DriverStopped> {
        self.status
            .clone()
            .wait_for(|status| status.readiness == Readiness::Ready)
            .await
            .map(|_| ())
            .map_err(|_| DriverStopped)
    }

    /// Subscribes to the platform's list of machines. It is updated only while this node polls it.
    #[must_use]
    pub fn watch_machines(&self) -> watch::Receiver<Arc<Vec<Machine>>> {
        self.machines.clone()
    }

    /// Reports a peer's revision received in a membership datagram. Dropped when the input queue is
    /// full; the next datagram carries it again.
    pub fn note_peer_revision(&self, from: NodeId, revision: Revision) {
        let _ = self
            .inputs
            .try_send(Input::RevisionReported { from, revision });
    }

    /// Answers a peer's [`stairward_protocol::call::CallRequest::ExchangeSettings`]. Refused as
    /// overloaded when the input queue is full.
    pub async fn handle_exchange(&self, from: NodeId, exchange: SettingsExchange) -> CallReply {
        let (reply, answer) = oneshot::channel();
        let input = Input::ExchangeRequested {
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

    /// Submits an edit to the store and applies it on this node, which then propagates it to peers.
    ///
    /// # Errors
    /// [`EditFailure`], which says whether the edit may have taken effect.
    pub async fn edit(&self, edit: &Edit) -> Result<EditOutcome, EditFailure> {
        let result = edit_settings(&self.platform, edit).await;
        match &result {
            Ok(outcome) => {
                tracing::info!(
                    event = LogEvent::EditAccepted.number(),
                    change_id = edit.change_id.0,
                    revision = outcome.revision.0,
                    "accepted an edit of the settings"
                );
                self.apply_document(outcome.document.clone()).await;
            }
            Err(error) => tracing::warn!(
                event = LogEvent::EditRefused.number(),
                change_id = edit.change_id.0,
                %error,
                "an edit of the settings failed"
            ),
        }
        result
    }

    async fn apply_document(&self, document: SettingsDocument) {
        let (done, applied) = oneshot::channel();
        let input = Input::EditStored {
            document: Box::new(document),
            done,
        };
        if self.inputs.send(input).await.is_ok() {
            let _ = applied.await;
        }
    }
}
