//! Repeatable property tests.
//!
//! `bolero`'s own test engine (0.13) draws its inputs from the system's entropy, so every run of the
//! tests uses different inputs. [`check!`] replaces `bolero::check!` with an engine that draws them
//! from a fixed seed. Seed and number of inputs come from the same environment variables that
//! `bolero` reads; `.cargo/config.toml` sets them.

#![forbid(unsafe_code)]

use std::fmt::Debug;

use bolero_engine::driver::Options;
use bolero_engine::input::Bytes;
use bolero_engine::{Engine, Failure, Test};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Random bytes per input; more than any of the generators uses.
const INPUT_BYTES: usize = 16 * 1024;
const SEED_VARIABLE: &str = "BOLERO_RANDOM_SEED";
const ITERATIONS_VARIABLE: &str = "BOLERO_RANDOM_ITERATIONS";
const DEFAULT_SEED: u64 = 1;
const DEFAULT_ITERATIONS: u64 = 1_000;

/// Starts a property test, as `bolero::check!()` does, with the same inputs on every run.
#[macro_export]
macro_rules! check {
    () => {
        bolero::TestTarget::new($crate::FixedSeedEngine::from_environment())
    };
}

/// Test engine that runs a fixed number of inputs drawn from a fixed seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FixedSeedEngine {
    seed: u64,
    iterations: u64,
}

impl FixedSeedEngine {
    /// Creates an engine with this seed and number of inputs.
    #[must_use]
    pub const fn new(seed: u64, iterations: u64) -> Self {
        Self { seed, iterations }
    }

    /// Creates an engine with the seed and number of inputs from the environment, or the defaults.
    #[must_use]
    pub fn from_environment() -> Self {
        Self::new(
            number_from(SEED_VARIABLE, DEFAULT_SEED),
            number_from(ITERATIONS_VARIABLE, DEFAULT_ITERATIONS),
        )
    }
}

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

impl<T> Engine<T> for FixedSeedEngine
where
    T: Test,
    T::Value: Debug,
{
    type Output = ();

    /// Runs the test on every input.
    ///
    /// # Panics
    /// On the first input that fails, and if the generator produced no valid input.
    fn run(self, mut test: T, options: Options) {
        bolero_engine::panic::set_hook();
        let forwarded = bolero_engine::panic::forward_panic(false);
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut bytes = vec![0; INPUT_BYTES];
        let mut valid_inputs = 0_u64;
        for _ in 0..self.iterations {
            random.fill_bytes(&mut bytes);
            match test.test(&mut Bytes::new(&bytes, &options)) {
                Ok(is_valid) => valid_inputs += u64::from(is_valid),
                Err(error) => {
                    bolero_engine::panic::forward_panic(forwarded);
                    let input = test.generate_value(&mut Bytes::new(&bytes, &options));
                    let failure = Failure {
                        error,
                        input,
                        seed: None,
                    };
                    panic!("{failure}");
                }
            }
        }
        bolero_engine::panic::forward_panic(forwarded);
        assert!(valid_inputs > 0, "the generator produced no valid input");
    }
}
