//! The record of a run: what was sent, answered and run, one line each, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A log file shared by all threads.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the record, to which the script has written its first line.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line at once, so that the record is whole however the run ends.
    pub fn line(&self, text: &str) {
        let line = format!("{:>9.3} {text}\n", self.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        println!("{:>9.3} {text}", self.elapsed().as_secs_f64());
        self.line(text);
    }
}
