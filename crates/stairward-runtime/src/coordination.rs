//! External services that failover depends on.

use std::future::Future;
use std::pin::Pin;

use stairward_failover::{
    FailoverRecord, FencingToken, InSyncRecord, PromotionOutcome, RecordVersion,
};
use stairward_types::{BackendId, ServiceName};

/// A future on the node's own thread.
pub type CoordinationFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Result of a conditional write of a service's failover record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordWrite {
    /// Written; the record now has this version.
    Written(RecordVersion),
    /// The version did not match; carries the current version and record.
    Conflict(RecordVersion, Option<FailoverRecord>),
    /// Not written, or unknown, or the store was restored from another copy since the expected version was read, so
    /// that the same version may identify another record.
    Failed,
}

/// Result of a conditional write of the fleet size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetSizeWrite {
    /// The record's current version and number of nodes, whether this write or another one set them.
    Known(RecordVersion, u32),
    /// Not written, or unknown.
    Failed,
}

/// Result of a conditional write of a service's record of in-sync members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InSyncRecordWrite {
    /// The record's current version and content, whether this write or another one set them.
    Known(RecordVersion, InSyncRecord),
    /// Not written, or unknown.
    Failed,
}

/// The metadata store and the promotion call.
pub trait Coordination {
    /// Writes a service's failover record if its version is still `expected`; creates it if that is
    /// [`RecordVersion::absent_in_era`].
    fn write_record(
        &self,
        service: ServiceName,
        expected: RecordVersion,
        record: FailoverRecord,
    ) -> CoordinationFuture<RecordWrite>;

    /// Writes a service's record of in-sync members if its version is still `expected`; creates it if that is
    /// [`RecordVersion::absent_in_era`].
    fn write_in_sync_record(
        &self,
        service: ServiceName,
        expected: RecordVersion,
        record: InSyncRecord,
    ) -> CoordinationFuture<InSyncRecordWrite>;

    /// Writes the maximum number of nodes if the record's version is still `expected`; creates it if that is
    /// [`RecordVersion::absent_in_era`].
    fn write_fleet_size(
        &self,
        expected: RecordVersion,
        nodes: u32,
    ) -> CoordinationFuture<FleetSizeWrite>;

    /// Promotes a back end to primary.
    fn promote(
        &self,
        service: ServiceName,
        backend: BackendId,
        token: FencingToken,
    ) -> CoordinationFuture<PromotionOutcome>;
}
