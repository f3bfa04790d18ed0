//! What the system says of a process: memory, processor time, descriptors.

use std::fs;
use std::time::Duration;

use crate::provenance::proc_field;

/// Clock ticks a second in `/proc`; fixed at 100 on Linux for user programs.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time in `/proc/PID/stat`, counted after the program's name.
const USER_TIME_FIELD: usize = 11;
const BYTES_PER_KILOBYTE: u64 = 1024;

/// A process, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process(pub u32);

impl Process {
    /// The process that asks.
    #[must_use]
    pub fn this() -> Self {
        Self(std::process::id())
    }

    /// Resident memory, in bytes; none when the process is gone.
    #[must_use]
    pub fn resident_bytes(self) -> Option<u64> {
        let text = proc_field(&format!("/proc/{}/status", self.0), "VmRSS")?;
        let kilobytes: u64 = text.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes * BYTES_PER_KILOBYTE)
    }

    /// Processor time used so far, of user and system; none when the process is gone.
    #[must_use]
    pub fn processor_time(self) -> Option<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.0)).ok()?;
        let (_, after_name) = text.rsplit_once(')')?;
        let mut fields = after_name.split_whitespace().skip(USER_TIME_FIELD);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
    }

    /// Descriptors that are open; none when the process is gone or another user's.
    #[must_use]
    pub fn open_descriptors(self) -> Option<usize> {
        Some(fs::read_dir(format!("/proc/{}/fd", self.0)).ok()?.count())
    }
}
