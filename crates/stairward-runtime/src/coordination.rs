//! What the failover duty needs of the world outside the node.

use std::future::Future;
use std::pin::Pin;

use stairward_failover::{FailoverRecord, FencingToken, PromotionOutcome, RecordVersion};
use stairward_types::{BackendId, ServiceName};

/// A future on the node's own thread.
pub type CoordinationFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// How a conditional write of a service's record ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordWrite {
    /// It was written and has this version now.
    Written(RecordVersion),
    /// Its version was another one; this is the record as it is.
    Conflict(RecordVersion, Option<FailoverRecord>),
    /// It was not written, or that is not known, or another copy of the store answered than the one whose version was
    /// expected: the same version may name another record there.
    Failed,
}

/// How a conditional write of the number of nodes ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetSizeWrite {
    /// The record has this version and says this now, whoever wrote it.
    Known(RecordVersion, u32),
    /// It was not written, or that is not known.
    Failed,
}

/// The metadata store and the call that promotes, for the failover duty.
pub trait Coordination {
    /// Writes a service's record if its version is still `expected`. Where that is
    /// [`RecordVersion::absent_in_era`], creates it.
    fn write_record(
        &self,
        service: ServiceName,
        expected: RecordVersion,
        record: FailoverRecord,
    ) -> CoordinationFuture<RecordWrite>;

    /// Writes how many nodes there may be, if the version of that record is still `expected`. Where that is
    /// [`RecordVersion::absent_in_era`], creates it.
    fn write_fleet_size(
        &self,
        expected: RecordVersion,
        nodes: u32,
    ) -> CoordinationFuture<FleetSizeWrite>;

    /// Promotes a back end.
    fn promote(
        &self,
        service: ServiceName,
        backend: BackendId,
        token: FencingToken,
    ) -> CoordinationFuture<PromotionOutcome>;
}
