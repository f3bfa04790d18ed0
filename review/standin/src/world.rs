//! What all stand-ins of a run share.

use std::time::Duration;

use crate::group::Group;
use crate::record::Record;
use crate::store::Store;

/// The service of all databases.
pub const SERVICE: &str = "core";
/// Connections that each database takes.
pub const MAX_CONNECTIONS: usize = 36;

/// How long a statement works, by its access and thing.
pub type Work = Box<dyn Fn(&str, &str) -> Duration + Send + Sync>;
/// The row of a read, by its thing and what is stored.
pub type Row = Box<dyn Fn(&str, String) -> String + Send + Sync>;

pub struct World {
    pub group: Group,
    pub store: Store,
    pub record: Record,
    pub work: Work,
    pub row: Row,
}
