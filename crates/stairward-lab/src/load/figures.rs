//! Latency histograms of a run, whole and over time.
//!
//! Latencies count from the moment a request was due, not from when it was sent, so that waiting
//! behind a slow answer is not left out (coordinated omission).

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Length of one slice of the time series.
pub const SLICE: Duration = Duration::from_millis(100);
/// Decimal digits kept by the histogram of the whole run.
const RUN_DIGITS: u8 = 3;
/// Decimal digits kept by the histogram of a slice.
const SLICE_DIGITS: u8 = 2;
/// Slices kept; a longer run counts its tail in the last slice.
const MAXIMUM_SLICES: usize = 36_000;
/// Longest latency told apart, in microseconds.
const MAXIMUM_LATENCY_MICROSECONDS: u64 = 600_000_000;

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

/// One slice of the time series.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slice {
    /// Its start, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// Requests due in it.
    pub count: u64,
    /// Those that were not answered.
    pub failed: u64,
    /// Median latency of those answered, in milliseconds.
    pub p50: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
}

#[derive(Debug)]
struct SliceFigures {
    failed: u64,
    latencies: Histogram<u32>,
}

impl SliceFigures {
    fn new() -> Self {
        Self {
            failed: 0,
            latencies: new_histogram(SLICE_DIGITS),
        }
    }
}

/// Latencies gathered during a run.
#[derive(Debug)]
pub struct Figures {
    whole: Histogram<u32>,
    slices: Vec<SliceFigures>,
}

impl Default for Figures {
    fn default() -> Self {
        Self {
            whole: new_histogram(RUN_DIGITS),
            slices: Vec::new(),
        }
    }
}

impl Figures {
    /// Counts a request that was answered.
    pub fn answered(&mut self, due: Duration, latency: Duration) {
        record(&mut self.whole, latency);
        record(&mut self.slice(due).latencies, latency);
    }

    /// Counts a request that was not answered.
    pub fn failed(&mut self, due: Duration) {
        self.slice(due).failed += 1;
    }

    fn slice(&mut self, due: Duration) -> &mut SliceFigures {
        let position = (due.as_millis() / SLICE.as_millis()) as usize;
        let position = position.min(MAXIMUM_SLICES - 1);
        if self.slices.len() <= position {
            self.slices.resize_with(position + 1, SliceFigures::new);
        }
        &mut self.slices[position]
    }

    /// Percentiles over the whole run.
    #[must_use]
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            p50: quantile(&self.whole, 0.5),
            p99: quantile(&self.whole, 0.99),
            max: to_milliseconds(self.whole.max()),
        }
    }

    /// The time series.
    #[must_use]
    pub fn series(&self) -> Vec<Slice> {
        (0_u64..)
            .zip(&self.slices)
            .map(|(position, figures)| Slice {
                at_ms: position * SLICE.as_millis() as u64,
                count: figures.latencies.len() + figures.failed,
                failed: figures.failed,
                p50: quantile(&figures.latencies, 0.5),
                p99: quantile(&figures.latencies, 0.99),
            })
            .collect()
    }
}

fn new_histogram(digits: u8) -> Histogram<u32> {
    // Grows with the values recorded, so that a slice of short latencies stays small.
    Histogram::new(digits).unwrap_or_else(|_| unreachable!("one to five digits are valid"))
}

fn record(histogram: &mut Histogram<u32>, latency: Duration) {
    let microseconds = latency.as_micros() as u64;
    histogram
        .record(microseconds.min(MAXIMUM_LATENCY_MICROSECONDS))
        .unwrap_or_else(|_| unreachable!("the histogram grows as needed"));
}

fn quantile(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    to_milliseconds(histogram.value_at_quantile(quantile))
}

fn to_milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1000.0
}
