//! The command line of `stairward-lab simulate`.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use lexopt::{Arg, ValueExt};
use snafu::{OptionExt, Snafu, ensure};

use super::fault::FaultKind;
use super::policy::Policy;
use super::variant::BrokenVariant;

/// The text of `stairward-lab simulate --help`.
pub(super) const HELP: &str = "\
Usage: stairward-lab simulate [OPTIONS]

Runs the proxies' decision code on a virtual clock under faults and checks what must always hold.
The same options print the same bytes.

Options:
  --site NAME        lintas or krvny-most (default: lintas)
  --seeds A..B       first and last seed, or one seed (default: 1..20)
  --faults LIST      all, none, or names separated by commas (default: all)
  --seconds N        virtual seconds of load in each run (default: 15)
  --lag MS           replication lag in milliseconds (default: 50)
  --policy NAME      stairward, or baseline for comparison (default: stairward)
  --break NAME       use a deliberately broken decision: fence, floor, retry, pool-reset, drain,
                     revision, multiplex, not-run or leaving
  --threads N        runs at once (default: as many as processors)
  --log              print the event log of each run to standard error
  --json             print one JSON object
  --help             print this text

Exit code: 0 without violations, 1 with violations, 2 when the command line is wrong.
";

/// What to simulate.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The site's name.
    pub site: String,
    /// First and last seed.
    pub seeds: RangeInclusive<u64>,
    /// The faults to draw from.
    pub faults: Vec<FaultKind>,
    /// How long callers send requests.
    pub load_time: Duration,
    /// How far replicas are behind.
    pub replication_lag: Duration,
    /// How reads and failures are decided.
    pub policy: Policy,
    /// A deliberately broken decision.
    pub broken: Option<BrokenVariant>,
    /// Runs at once; 0 for as many as processors.
    pub threads: usize,
    /// Whether to print event logs.
    pub log: bool,
    /// Whether to print JSON.
    pub json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            site: "lintas".to_owned(),
            seeds: 1..=20,
            faults: FaultKind::ALL.to_vec(),
            load_time: Duration::from_secs(15),
            replication_lag: Duration::from_millis(50),
            policy: Policy::Stairward,
            broken: None,
            threads: 0,
            log: false,
            json: false,
        }
    }
}

/// A command line that cannot be understood.
#[derive(Debug, Snafu)]
pub enum OptionsError {
    /// An option is unknown or lacks its value.
    #[snafu(display("{source}"), context(false))]
    CommandLine {
        /// What is wrong.
        source: lexopt::Error,
    },
    /// The seeds are not `A..B` with A at most B.
    #[snafu(display("{text:?} is not a range of seeds like 1..200"))]
    Seeds {
        /// The text given.
        text: String,
    },
}

impl Options {
    /// Reads the command line. `None` when help is asked for.
    ///
    /// # Errors
    /// [`OptionsError`] says what is wrong.
    pub fn parse(mut arguments: lexopt::Parser) -> Result<Option<Self>, OptionsError> {
        let mut options = Self::default();
        while let Some(argument) = arguments.next()? {
            match argument {
                Arg::Long("site") => options.site = arguments.value()?.string()?,
                Arg::Long("seeds") => options.seeds = parse_seeds(&arguments.value()?.string()?)?,
                Arg::Long("faults") => {
                    options.faults = arguments.value()?.parse_with(parse_faults)?
                }
                Arg::Long("seconds") => {
                    options.load_time = Duration::from_secs(arguments.value()?.parse()?);
                }
                Arg::Long("lag") => {
                    options.replication_lag = Duration::from_millis(arguments.value()?.parse()?);
                }
                Arg::Long("policy") => options.policy = arguments.value()?.parse()?,
                Arg::Long("break") => options.broken = Some(arguments.value()?.parse()?),
                Arg::Long("threads") => options.threads = arguments.value()?.parse()?,
                Arg::Long("log") => options.log = true,
                Arg::Long("json") => options.json = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Some(options))
    }

    /// The command that repeats one seed of these options.
    #[must_use]
    pub fn replay_command(&self, seed: u64) -> String {
        let defaults = Self::default();
        let mut command = format!(
            "stairward-lab simulate --site {} --seeds {seed}..{seed} --faults {}",
            self.site,
            self.fault_names()
        );
        if self.load_time != defaults.load_time {
            command.push_str(&format!(" --seconds {}", self.load_time.as_secs()));
        }
        if self.replication_lag != defaults.replication_lag {
            command.push_str(&format!(" --lag {}", self.replication_lag.as_millis()));
        }
        if self.policy != defaults.policy {
            command.push_str(&format!(" --policy {}", self.policy));
        }
        if let Some(broken) = self.broken {
            command.push_str(&format!(" --break {broken}"));
        }
        command.push_str(" --json");
        command
    }

    fn fault_names(&self) -> String {
        if self.faults == FaultKind::ALL {
            return "all".to_owned();
        }
        if self.faults.is_empty() {
            return "none".to_owned();
        }
        let names: Vec<_> = self.faults.iter().map(|kind| kind.name()).collect();
        names.join(",")
    }
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, OptionsError> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |digits: &str| u64::from_str(digits).ok().context(SeedsSnafu { text });
    let (first, last) = (number(first)?, number(last)?);
    ensure!(first <= last, SeedsSnafu { text });
    Ok(first..=last)
}

fn parse_faults(text: &str) -> Result<Vec<FaultKind>, super::fault::UnknownFault> {
    match text {
        "all" => Ok(FaultKind::ALL.to_vec()),
        "none" => Ok(Vec::new()),
        list => list.split(',').map(str::parse).collect(),
    }
}
