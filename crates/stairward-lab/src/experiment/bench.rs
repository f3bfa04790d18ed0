//! `stairward-lab bench`: what the way through stairward adds to talking to a database directly.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::prelude::*;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use stairward_checker::Recorder;
use stairward_proxy::cluster::Clock;

use super::closed_loop::{ClosedLoop, ClosedLoopResult};
use crate::command::{Command, comma_separated, failure, usage_error};
use crate::demo::cluster::{ClusterError, ClusterOptions, DemoCluster};
use crate::load::connection::Credentials;
use crate::load::run::{LoadError, LoadOptions, PreparedLoad};
use crate::load::statements::own_key;
use crate::output::write_json;
use crate::provenance::Provenance;
use crate::site::{Site, SiteError};

const HELP: &str = "\
Usage: stairward-lab bench [OPTIONS]

Starts a cluster in this process and lets callers send the same statement, each after the answer to
the one before: straight to a stand-in database, through the proxy in that database's place, and
through a proxy in another place. Prints latency, throughput, processor time a statement and the
ratios to the direct way as JSON.

Options:
  --site NAME        lintas or krvny-most [default: lintas]
  --callers N,N...   callers at once, one round each [default: 1,8,32]
  --seconds N        length of each measurement [default: 3]
  --output FILE      write the result there instead of standard output
  -h, --help         this text

Exit codes: 0 done, 1 the measurement failed, 2 the command line is wrong.
";

/// The group whose first database, its primary, is asked.
const GROUP: usize = 0;
/// The proxy in that database's place.
const SAME_PLACE: usize = 0;
/// A proxy in another place.
const OTHER_PLACE: usize = 1;
/// Slots and connections of each database, so that neither is what is measured.
const DATABASE_SLOTS: u32 = 64;
const DATABASE_CONNECTIONS: u32 = 200;

/// Measures what the way through stairward adds.
pub const COMMAND: Command = Command {
    name: "bench",
    summary: "measure what the way through stairward adds to a direct one",
    run,
};

/// One statement by all three ways, with so many callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BenchRound {
    /// `read` or `write`.
    pub statement: String,
    /// Callers at once.
    pub callers: usize,
    /// Straight to the database.
    pub direct: ClosedLoopResult,
    /// Through the proxy in the database's place.
    pub same_place: ClosedLoopResult,
    /// Through a proxy in another place.
    pub other_place: ClosedLoopResult,
    /// Set against the direct way.
    pub same_place_ratio: Ratio,
    /// Set against the direct way.
    pub other_place_ratio: Ratio,
}

/// A way through stairward set against the direct way.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    /// Throughput as a multiple.
    pub throughput: f64,
    /// Median latency as a multiple.
    pub latency_p50: f64,
    /// Median latency added, in milliseconds.
    pub added_latency_p50_ms: f64,
    /// Processor time added for each statement, in microseconds.
    pub added_processor_microseconds: f64,
}

impl Ratio {
    fn new(direct: &ClosedLoopResult, through: &ClosedLoopResult) -> Self {
        Self {
            throughput: through.statements_per_second / direct.statements_per_second,
            latency_p50: through.latency_ms.p50 / direct.latency_ms.p50,
            added_latency_p50_ms: through.latency_ms.p50 - direct.latency_ms.p50,
            added_processor_microseconds: through.processor_microseconds_per_statement
                - direct.processor_microseconds_per_statement,
        }
    }
}

/// A result file of `bench`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BenchResult {
    /// Where it comes from.
    pub provenance: Provenance,
    /// The system's load averages when the measurement began; other work on the machine shows here.
    pub load_average_before: String,
    /// The rounds.
    pub rounds: Vec<BenchRound>,
}

/// Why the measurement failed.
#[derive(Debug, Snafu)]
pub enum BenchError {
    /// The cluster did not start.
    #[snafu(display("{source}"))]
    Cluster {
        /// Why.
        source: ClusterError,
    },
    /// The tables could not be filled.
    #[snafu(display("{source}"))]
    Tables {
        /// Why.
        source: LoadError,
    },
    /// The site's names cannot be used.
    #[snafu(display("{source}"))]
    Names {
        /// Why.
        source: SiteError,
    },
    /// A caller's statement failed.
    #[snafu(display("{path}: {source}"))]
    Statement {
        /// By which way.
        path: &'static str,
        /// Why.
        source: tokio_postgres::Error,
    },
}

#[derive(Debug)]
struct Arguments {
    site: String,
    callers: Vec<usize>,
    seconds: u64,
    output: Option<PathBuf>,
    help: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        site: "lintas".to_owned(),
        callers: vec![1, 8, 32],
        seconds: 3,
        output: None,
        help: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("site") => arguments.site = parser.value()?.string()?,
            Long("callers") => arguments.callers = parser.value()?.parse_with(comma_separated)?,
            Long("seconds") => arguments.seconds = parser.value()?.parse()?,
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
    let site = match Site::named(&arguments.site) {
        Ok(site) => site,
        Err(error) => return usage_error(&error),
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failure(&error),
    };
    let length = Duration::from_secs(arguments.seconds);
    match runtime.block_on(measure(site, &arguments.callers, length)) {
        Ok(result) => write_json(&result, arguments.output.as_deref()),
        Err(error) => failure(&error),
    }
}

async fn measure(
    mut site: Site,
    callers: &[usize],
    length: Duration,
) -> Result<BenchResult, BenchError> {
    site.databases.slots = DATABASE_SLOTS;
    site.databases.connections = DATABASE_CONNECTIONS;
    let load_average_before = load_average();
    let options = ClusterOptions {
        site: site.clone(),
        seed: 1,
        replica_lag: Duration::ZERO,
        listen: None,
    };
    let cluster = DemoCluster::start(&options, Recorder::with_maximum_records(0), Clock::start())
        .await
        .context(ClusterSnafu)?;
    fill_tables(&site, &cluster).await?;
    let bench = Bench::new(&site, &cluster, length)?;
    let mut rounds = Vec::new();
    for &callers in callers {
        for statement in ["read", "write"] {
            rounds.push(bench.round(statement, callers).await?);
        }
    }
    cluster.end().await;
    Ok(BenchResult {
        provenance: Provenance::of_this_process(None),
        load_average_before,
        rounds,
    })
}

async fn fill_tables(site: &Site, cluster: &DemoCluster) -> Result<(), BenchError> {
    let options = LoadOptions {
        site: site.clone(),
        proxies: cluster.proxies.callers(),
        seed: 1,
        length: Duration::ZERO,
        requests_per_second: site.traffic.requests_per_second,
        sessions: site.traffic.sessions,
        credentials: Credentials::default(),
    };
    PreparedLoad::new(options).await.context(TablesSnafu)?;
    Ok(())
}

fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.trim().to_owned()
}

struct Bench {
    database: String,
    direct: SocketAddr,
    same_place: SocketAddr,
    other_place: SocketAddr,
    read: String,
    write: String,
    length: Duration,
}

impl Bench {
    fn new(site: &Site, cluster: &DemoCluster, length: Duration) -> Result<Self, BenchError> {
        let primary = site.backend(GROUP, SAME_PLACE).context(NamesSnafu)?;
        let proxies = cluster.proxies.callers();
        let (table, key) = (&site.tables.own, own_key(0, 0));
        Ok(Self {
            database: site.group(GROUP).context(NamesSnafu)?.to_string(),
            direct: cluster.databases.addresses()[&primary],
            same_place: proxies[SAME_PLACE].address,
            other_place: proxies[OTHER_PLACE].address,
            read: format!("SELECT id, version FROM {table} WHERE id = '{key}'"),
            write: format!("UPDATE {table} SET version = 1 WHERE id = '{key}'"),
            length,
        })
    }

    async fn round(&self, statement: &str, callers: usize) -> Result<BenchRound, BenchError> {
        let text = match statement {
            "write" => &self.write,
            _ => &self.read,
        };
        let direct = self.run(self.direct, "direct", text, callers).await?;
        let same_place = self
            .run(self.same_place, "same place", text, callers)
            .await?;
        let other_place = self
            .run(self.other_place, "other place", text, callers)
            .await?;
        Ok(BenchRound {
            statement: statement.to_owned(),
            callers,
            direct,
            same_place,
            other_place,
            same_place_ratio: Ratio::new(&direct, &same_place),
            other_place_ratio: Ratio::new(&direct, &other_place),
        })
    }

    async fn run(
        &self,
        address: SocketAddr,
        path: &'static str,
        statement: &str,
        callers: usize,
    ) -> Result<ClosedLoopResult, BenchError> {
        let callers = ClosedLoop {
            address,
            database: self.database.clone(),
            callers,
            length: self.length,
            statement: statement.to_owned(),
        };
        callers.run().await.context(StatementSnafu { path })
    }
}
