//! `stairward-lab idle`: what an idle client connection costs a proxy.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::command::{Command, failure, usage_error};
use crate::fit::least_squares;
use crate::load::connection::{CallerConnection, Credentials};
use crate::output::write_json;
use crate::process::Process;
use crate::provenance::Provenance;
use crate::site::Site;

const HELP: &str = "\
Usage: stairward-lab idle --proxy ADDRESS --pid PID [OPTIONS]

Opens idle client connections to a proxy of another process, step by step, and fits a line through
that process's resident memory. Start the other process with `stairward demo --serve`.

Options:
  --proxy ADDRESS   IP:PORT at which the proxy takes callers
  --pid PID         the process whose memory is read
  --site NAME       whose first group to connect to, lintas or krvny-most [default: lintas]
  --sessions N      connections in the last step [default: 19000]
  --steps N         steps [default: 5]
  --output FILE     write the result there instead of standard output
  -h, --help        this text

Exit codes: 0 done, 1 a connection failed, 2 the command line is wrong.
";

/// How long memory may settle after each step.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Connections opened at once.
const OPENING_AT_ONCE: usize = 64;

/// Measures the memory of idle client connections.
pub const COMMAND: Command = Command {
    name: "idle",
    summary: "measure what an idle client connection costs a proxy",
    run,
};

/// The process's state with so many idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct IdlePoint {
    /// Idle client connections.
    pub sessions: usize,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// A result file of `idle`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IdleResult {
    /// Where it comes from.
    pub provenance: Provenance,
    /// The steps.
    pub points: Vec<IdlePoint>,
    /// Memory of one idle connection, by the line through the steps.
    pub bytes_per_session: f64,
    /// Memory without any.
    pub fixed_bytes: f64,
    /// Whether all connections still answered at the end.
    pub all_alive: bool,
}

/// Why the measurement could not be made.
#[derive(Debug, Snafu)]
pub enum IdleError {
    /// A connection was refused.
    #[snafu(display("connection {number} failed: {source}"))]
    Connect {
        /// Which, counted from one.
        number: usize,
        /// Why.
        source: tokio_postgres::Error,
    },
    /// The process cannot be read.
    #[snafu(display("process {pid} cannot be read"))]
    NoProcess {
        /// Its number.
        pid: u32,
    },
    /// The steps don't differ.
    #[snafu(display("a line needs at least two steps of different size"))]
    TooFewSteps,
}

#[derive(Debug)]
struct Arguments {
    proxy: Option<SocketAddr>,
    pid: Option<u32>,
    site: String,
    sessions: usize,
    steps: usize,
    output: Option<PathBuf>,
    help: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        proxy: None,
        pid: None,
        site: "lintas".to_owned(),
        sessions: 19_000,
        steps: 5,
        output: None,
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("proxy") => arguments.proxy = Some(parser.value()?.parse()?),
            Long("pid") => arguments.pid = Some(parser.value()?.parse()?),
            Long("site") => arguments.site = parser.value()?.string()?,
            Long("sessions") => arguments.sessions = parser.value()?.parse()?,
            Long("steps") => arguments.steps = parser.value()?.parse()?,
            Long("output") => arguments.output = Some(parser.value()?.into()),
            Long("help") | Short('h') => arguments.help = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

fn run(parser: lexopt::Parser) -> ExitCode {
    let arguments = match parse(parser) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error),
    };
    if arguments.help {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let (Some(proxy), Some(pid)) = (arguments.proxy, arguments.pid) else {
        return usage_error(&"--proxy and --pid are needed");
    };
    let group = match Site::named(&arguments.site).and_then(|site| site.group(0)) {
        Ok(group) => group,
        Err(error) => return usage_error(&error),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    let steps = step_sizes(arguments.sessions, arguments.steps);
    match runtime.block_on(measure(proxy, Process(pid), group.as_str(), &steps)) {
        Ok(result) => write_json(&result, arguments.output.as_deref()),
        Err(error) => failure(&error),
    }
}

/// Equal steps up to a number of connections.
fn step_sizes(sessions: usize, steps: usize) -> Vec<usize> {
    (0..=steps)
        .map(|step| sessions * step / steps.max(1))
        .collect()
}

async fn measure(
    proxy: SocketAddr,
    process: Process,
    database: &str,
    steps: &[usize],
) -> Result<IdleResult, IdleError> {
    let mut connections = Vec::new();
    let mut points = Vec::new();
    for &sessions in steps {
        while connections.len() < sessions {
            let batch = OPENING_AT_ONCE.min(sessions - connections.len());
            open_batch(proxy, database, batch, &mut connections).await?;
        }
        tokio::time::sleep(SETTLING_TIME).await;
        points.push(point(process, sessions)?);
        eprintln!("{sessions} connections open");
    }
    let coordinates: Vec<(f64, f64)> = points
        .iter()
        .map(|point| (point.sessions as f64, point.resident_bytes as f64))
        .collect();
    let line = least_squares(&coordinates).context(TooFewStepsSnafu)?;
    Ok(IdleResult {
        provenance: Provenance::of_this_process(None),
        points,
        bytes_per_session: line.per_unit,
        fixed_bytes: line.fixed,
        all_alive: connections.iter().all(|connection| !connection.is_closed()),
    })
}

async fn open_batch(
    proxy: SocketAddr,
    database: &str,
    count: usize,
    connections: &mut Vec<CallerConnection>,
) -> Result<(), IdleError> {
    let credentials = Credentials::default();
    let opening = (0..count).map(|_| CallerConnection::open(proxy, database, &credentials, None));
    for opened in futures::future::join_all(opening).await {
        let number = connections.len() + 1;
        connections.push(opened.map_err(|source| IdleError::Connect { number, source })?);
    }
    Ok(())
}

fn point(process: Process, sessions: usize) -> Result<IdlePoint, IdleError> {
    let no_process = NoProcessSnafu { pid: process.0 };
    Ok(IdlePoint {
        sessions,
        resident_bytes: process.resident_bytes().context(no_process)?,
        descriptors: process.open_descriptors().context(no_process)?,
    })
}
