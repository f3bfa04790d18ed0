//! `stairward demo`: runs a whole site on loopback addresses and checks every answer.

use std::io::IsTerminal as _;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt as _;
use stairward_checker::Recorder;
use stairward_lab::demo::cluster::{ClusterOptions, DemoCluster};
use stairward_lab::demo::fault::FaultKind;
use stairward_lab::demo::report::DemoReport;
use stairward_lab::demo::{DemoOptions, run_demo};
use stairward_lab::site::Site;
use stairward_proxy::cluster::Clock;
use tokio::signal::unix::{SignalKind, signal};

use super::block_on;
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_FAULT_FOUND, EXIT_SUCCESS, Failure, StartSnafu, UsageSnafu};
use crate::logging::{self, LogFormat};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward demo [OPTIONS]

Starts, in one process on loopback addresses, a stand-in for the platform's store, a site's groups of
stand-in databases and three proxies. Drives the site's traffic, checks what every session saw against
what the databases did, and prints a summary. Ends with 0 only when no invariant was violated.

Options:
  --site NAME       lintas or krvny-most [lintas]
  --seconds N       how long the load runs [10]
  --seed N          seed of the load and of the databases' elections [1]
  --fault KIND      primary-cutoff, replica-lag, proxy-kill, store-down, backend-leave, planned-stop,
                    settings-edit or none; may be given several times [none]
  --lag-ms N        lag of every replica during the whole run [0]
  --json            print one JSON object
  --serve           stay up without load until SIGTERM or SIGINT
  --listen IP:PORT  with --serve: where the first proxy takes clients [any free port]
  --log FILTER      log level or filter, on standard error [error]
";

/// Maximum duration of the load, in seconds.
const MAXIMUM_SECONDS: u64 = 24 * 60 * 60;

struct DemoArguments {
    site: Site,
    seconds: u64,
    seed: u64,
    faults: Vec<FaultKind>,
    replica_lag: Duration,
    json: bool,
    serve: bool,
    listen: Option<SocketAddr>,
    log: String,
}

fn usage_error(error: impl std::fmt::Display) -> Failure {
    UsageSnafu {
        message: error.to_string(),
    }
    .build()
}

/// Runs the command.
pub fn run(arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let Some(demo) = parse_arguments(arguments)? else {
        output.text(HELP);
        return Ok(EXIT_SUCCESS);
    };
    logging::initialize(&demo.log, LogFormat::Text);
    if demo.serve {
        return block_on(serve(demo, output));
    }
    let report = run_demo(&DemoOptions {
        site: demo.site,
        length: Duration::from_secs(demo.seconds),
        seed: demo.seed,
        faults: demo.faults,
        replica_lag: demo.replica_lag,
        show_progress: std::io::stderr().is_terminal(),
    })
    .map_err(|error| Box::new(error) as Box<dyn std::error::Error + Send + Sync>)
    .context(StartSnafu)?;
    if demo.json {
        output.json(&serde_json::json!(report));
    } else {
        print_summary(&report, output);
    }
    Ok(if report.is_clean() {
        0
    } else {
        EXIT_FAULT_FOUND
    })
}

/// Parses the options; `None` if help is requested.
fn parse_arguments(mut arguments: Arguments) -> Result<Option<DemoArguments>, Failure> {
    let mut demo = DemoArguments {
        site: Site::named("lintas").map_err(usage_error)?,
        seconds: 10,
        seed: 1,
        faults: Vec::new(),
        replica_lag: Duration::ZERO,
        json: false,
        serve: false,
        listen: None,
        log: "error".to_owned(),
    };
    while let Some(argument) = arguments.next()? {
        let Argument::Option(name) = &argument else {
            return unexpected(&argument);
        };
        match name.as_str() {
            "help" => return Ok(None),
            "site" => demo.site = Site::named(&arguments.value()?).map_err(usage_error)?,
            "seconds" => demo.seconds = arguments.parsed()?,
            "seed" => demo.seed = arguments.parsed()?,
            "fault" => {
                let name = arguments.value()?;
                let kinds = FaultKind::parse_list([name.as_str()]).map_err(usage_error)?;
                demo.faults.extend(kinds);
            }
            "lag-ms" => demo.replica_lag = Duration::from_millis(arguments.parsed()?),
            "json" => demo.json = true,
            "serve" => demo.serve = true,
            "listen" => demo.listen = Some(arguments.parsed()?),
            "log" => demo.log = arguments.value()?,
            _ => return unexpected(&argument),
        }
    }
    if demo.seconds == 0 || demo.seconds > MAXIMUM_SECONDS {
        return Err(usage_error(format!(
            "--seconds must be between 1 and {MAXIMUM_SECONDS}"
        )));
    }
    Ok(Some(demo))
}

fn print_summary(report: &DemoReport, output: &mut Output<'_>) {
    output.line(&format!("site                 {}", report.site));
    output.line(&format!("statements           {}", report.statements));
    output.line(&format!(
        "reads                {}, {:.1}% by replicas",
        report.reads,
        report.replica_read_share * 100.0
    ));
    output.line(&format!("writes               {}", report.writes));
    output.line(&format!("refused, not run     {}", report.refused_not_run));
    output.line(&format!("outcome unknown      {}", report.outcome_unknown));
    output.line(&format!(
        "latency              p50 {:.2} ms, p99 {:.2} ms",
        report.latency_ms.p50, report.latency_ms.p99
    ));
    output.line(&format!(
        "failover gaps        {:?} ms",
        report.failover_gap_ms
    ));
    output.line(&format!(
        "{:<24} {:>10} {:>12}",
        "invariant", "violations", "observations"
    ));
    for (invariant, violations) in &report.violations {
        let checked = report.checked.get(invariant).copied().unwrap_or_default();
        output.line(&format!(
            "{:<24} {violations:>10} {checked:>12}",
            invariant.to_string()
        ));
    }
    for example in &report.examples {
        output.line(&format!("violated: {}", serde_json::json!(example)));
    }
}

fn boxed<E: std::error::Error + Send + Sync + 'static>(
    error: E,
) -> Box<dyn std::error::Error + Send + Sync> {
    Box::new(error)
}

/// Runs the demo cluster without load until SIGTERM or SIGINT. Prints a line with the
/// addresses of all proxies once the cluster is ready.
async fn serve(demo: DemoArguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let mut terminate = signal(SignalKind::terminate())
        .map_err(boxed)
        .context(StartSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt())
        .map_err(boxed)
        .context(StartSnafu)?;
    let options = ClusterOptions {
        site: demo.site,
        seed: demo.seed,
        replica_lag: demo.replica_lag,
        listen: demo.listen,
    };
    let cluster = DemoCluster::start(&options, Recorder::new(), Clock::start())
        .await
        .map_err(boxed)
        .context(StartSnafu)?;
    let addresses = cluster.proxies.addresses();
    let clients: Vec<String> = addresses
        .iter()
        .map(|address| address.client.to_string())
        .collect();
    let admins: Vec<String> = addresses
        .iter()
        .map(|address| address.admin.to_string())
        .collect();
    let (clients, admins) = (clients.join(","), admins.join(","));
    output.line(&format!("ready clients={clients} admin={admins}"));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    cluster.end().await;
    Ok(EXIT_SUCCESS)
}
