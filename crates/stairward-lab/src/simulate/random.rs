//! The one source of randomness of a run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Random numbers that depend on the seed alone.
#[derive(Debug)]
pub(super) struct Random(ChaCha12Rng);

impl Random {
    /// A source for a seed. Sources of different streams are independent.
    pub(super) fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha12Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        Self(generator)
    }

    /// The generator, for decision code that takes one.
    pub(super) const fn generator(&mut self) -> &mut ChaCha12Rng {
        &mut self.0
    }

    /// Any number.
    pub(super) fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// A number below `limit`, which must not be zero.
    pub(super) fn below(&mut self, limit: usize) -> usize {
        self.0.random_range(0..limit)
    }

    /// True with a probability.
    pub(super) fn chance(&mut self, probability: f64) -> bool {
        self.0.random_bool(probability)
    }

    /// A duration between two bounds.
    pub(super) fn between(&mut self, least: Duration, most: Duration) -> Duration {
        let range = least.as_micros() as u64..=most.as_micros() as u64;
        Duration::from_micros(self.0.random_range(range))
    }
}
