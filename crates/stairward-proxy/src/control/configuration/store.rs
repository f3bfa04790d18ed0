//! Reads the settings from the platform's store while this node is a watcher.

use std::sync::Arc;

use stairward_membership::configuration::StoreAnswer;
use stairward_settings::{SETTINGS_OBJECT, SettingsDocument};
use stairward_store::{PlatformClient, ReadError, VersionedObject};
use stairward_types::{Duration, LogEvent, Revision};

/// The result of a store read; none when no newer version appeared in time.
pub(super) type StoreRead = Result<Option<VersionedObject<SettingsDocument>>, ReadError>;

/// The last state of the store seen by this node.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    version: u64,
    revision: Revision,
    is_unreachable: bool,
}

impl StoreView {
    /// The last version read; the next read waits for a newer one.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Records the result of a read, logs reachability changes, and converts the result for the
    /// disseminator.
    pub(super) fn record_read(&mut self, read: &StoreRead) -> StoreAnswer {
        match read {
            Ok(object) => {
                if let Some(object) = object {
                    self.version = object.version;
                    self.revision = object.value.revision();
                }
                self.record_reachable();
                StoreAnswer::Read(self.revision)
            }
            Err(ReadError::TooManyReaders { .. }) => StoreAnswer::TooManyReaders,
            Err(error) => {
                self.record_unreachable(error);
                StoreAnswer::Failed
            }
        }
    }

    fn record_reachable(&mut self) {
        if std::mem::take(&mut self.is_unreachable) {
            tracing::info!(
                event = LogEvent::StoreReachable.number(),
                "the platform's store is reachable again"
            );
        }
    }

    fn record_unreachable(&mut self, error: &ReadError) {
        if !std::mem::replace(&mut self.is_unreachable, true) {
            tracing::warn!(
                event = LogEvent::StoreUnreachable.number(),
                %error,
                "the platform's store is unreachable; the current settings stay in effect"
            );
        }
    }
}

/// Long-polls the settings: the store responds once it has a version after `after_version`, or when
/// `wait` has passed.
pub(super) async fn read_store(
    platform: Arc<PlatformClient>,
    after_version: u64,
    wait: Duration,
) -> StoreRead {
    platform.watch(SETTINGS_OBJECT, after_version, wait).await
}
