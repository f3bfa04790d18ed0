//! `stairward-lab load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use lexopt::prelude::*;
use serde::{Deserialize, Serialize};
use stairward_checker::Recorder;
use stairward_proxy::cluster::Clock;
use stairward_types::NodeId;

use super::connection::Credentials;
use super::progress::Progress;
use super::result::LoadResult;
use super::run::{LoadError, LoadOptions, PreparedLoad, ProxyAddress};
use super::tally::Tally;
use crate::command::{Command, failure, usage_error};
use crate::output::write_json;
use crate::provenance::Provenance;
use crate::site::Site;

const HELP: &str = "\
Usage: stairward-lab load --proxy ADDRESS [--proxy ADDRESS]... [OPTIONS]

Drives a site's sessions against running proxies and prints the result as JSON. Latencies count
from the moment a request was due. Creates and empties the site's tables first.

Options:
  --proxy ADDRESS     IP:PORT at which a proxy takes callers; sessions roam between those given
  --site NAME         lintas or krvny-most [default: lintas]
  --seconds N         how long requests arrive [default: 10]
  --rate N            requests a second over all sessions [default: the site's]
  --sessions N        sessions [default: the site's]
  --seed N            seed of the schedule [default: 1]
  --user NAME         user to log in as [default: app]
  --password-file F   file that holds the password
  --output FILE       write the result there instead of standard output
  -h, --help          this text

Exit codes: 0 done, 1 the load could not run, 2 the command line is wrong.
";

/// Drives load against running proxies.
pub const COMMAND: Command = Command {
    name: "load",
    summary: "drive a site's sessions against running proxies",
    run: run_command,
};

/// A result file of `load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadFile {
    /// Where it comes from.
    pub provenance: Provenance,
    /// The site's name.
    pub site: String,
    /// What was measured.
    pub load: LoadResult,
}

#[derive(Debug)]
struct Arguments {
    proxies: Vec<SocketAddr>,
    site: String,
    seconds: u64,
    rate: Option<f64>,
    sessions: Option<u32>,
    seed: u64,
    user: String,
    password_file: Option<PathBuf>,
    output: Option<PathBuf>,
    help: bool,
}

impl Default for Arguments {
    fn default() -> Self {
        Self {
            proxies: Vec::new(),
            site: "lintas".to_owned(),
            seconds: 10,
            rate: None,
            sessions: None,
            seed: 1,
            user: Credentials::default().user,
            password_file: None,
            output: None,
            help: false,
        }
    }
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("proxy") => arguments.proxies.push(parser.value()?.parse()?),
            Long("site") => arguments.site = parser.value()?.string()?,
            Long("seconds") => arguments.seconds = parser.value()?.parse()?,
            Long("rate") => arguments.rate = Some(parser.value()?.parse()?),
            Long("sessions") => arguments.sessions = Some(parser.value()?.parse()?),
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            Long("user") => arguments.user = parser.value()?.string()?,
            Long("password-file") => arguments.password_file = Some(parser.value()?.into()),
            Long("output") => arguments.output = Some(parser.value()?.into()),
            Long("help") | Short('h') => arguments.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn run_command(parser: lexopt::Parser) -> ExitCode {
    let arguments = match parse(parser) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error),
    };
    if arguments.help {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let options = match load_options(&arguments) {
        Ok(options) => options,
        Err(error) => return usage_error(&error),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    match runtime.block_on(run_load(options)) {
        Ok(load) => {
            let file = LoadFile {
                provenance: Provenance::of_this_process(Some(arguments.seed)),
                site: arguments.site,
                load,
            };
            write_json(&file, arguments.output.as_deref())
        }
        Err(error) => failure(&error),
    }
}

fn load_options(arguments: &Arguments) -> Result<LoadOptions, Box<dyn std::error::Error>> {
    let site = Site::named(&arguments.site)?;
    let password = match &arguments.password_file {
        Some(file) => Some(std::fs::read_to_string(file)?.trim_end().to_owned()),
        None => None,
    };
    let proxies = (1_u64..)
        .zip(&arguments.proxies)
        .map(|(number, &address)| ProxyAddress {
            node: NodeId(number),
            address,
        })
        .collect();
    Ok(LoadOptions {
        proxies,
        seed: arguments.seed,
        length: Duration::from_secs(arguments.seconds),
        requests_per_second: arguments.rate.unwrap_or(site.traffic.requests_per_second),
        sessions: arguments.sessions.unwrap_or(site.traffic.sessions),
        credentials: Credentials {
            user: arguments.user.clone(),
            password,
        },
        site,
    })
}

async fn run_load(options: LoadOptions) -> Result<LoadResult, LoadError> {
    let site = options.site.clone();
    let length = options.length;
    let prepared = PreparedLoad::new(options).await?;
    let tally = Arc::new(Tally::default());
    let progress = Progress::show(Arc::clone(&tally), length);
    // The history cannot be judged without the back ends' own record, so none is kept.
    let recorder = Recorder::with_maximum_records(0);
    prepared
        .run(Clock::start(), recorder, Arc::clone(&tally))
        .await;
    drop(progress);
    Ok(tally.result(&site))
}
