//! `stairward serve`: run a node.

use std::path::PathBuf;

use snafu::ResultExt as _;
use stairward_proxy::node::{Node, NodeError, NodeListeners};
use stairward_settings::ProcessSettings;
use stairward_settings::process::LogFormat as SettingsLogFormat;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::block_on;
use crate::arguments::{Argument, Arguments, unexpected};
use crate::failure::{EXIT_SUCCESS, Failure, InvalidProcessFileSnafu, StartSnafu, UsageSnafu};
use crate::logging::{self, LogFormat};
use crate::output::Output;

const HELP: &str = "\
Usage: stairward serve --config FILE

Runs a node until it is told to stop. SIGTERM or SIGINT begins a planned stop: what is in flight
finishes, idle sessions are told to reconnect, and back ends are handed over. SIGHUP reads
certificates, keys and users again.

Options:
  --config FILE   the process file; docs/CONFIGURATION.md lists its options
";

/// Runs the command.
pub fn run(mut arguments: Arguments, output: &mut Output<'_>) -> Result<u8, Failure> {
    let mut file = None;
    while let Some(argument) = arguments.next()? {
        match &argument {
            Argument::Option(name) if name == "help" => {
                output.text(HELP);
                return Ok(EXIT_SUCCESS);
            }
            Argument::Option(name) if name == "config" => {
                file = Some(PathBuf::from(arguments.value()?));
            }
            _ => return unexpected(&argument),
        }
    }
    let Some(file) = file else {
        return UsageSnafu {
            message: "--config FILE is missing",
        }
        .fail();
    };
    let settings = load_process_file(&file)?;
    let format = match settings.log.format {
        SettingsLogFormat::Text => LogFormat::Text,
        SettingsLogFormat::Json => LogFormat::Json,
    };
    logging::initialize(settings.log.level, format);
    block_on(serve(settings, file))?;
    Ok(EXIT_SUCCESS)
}

/// Loads a process file; prints its problems to standard error if it is invalid.
fn load_process_file(file: &PathBuf) -> Result<ProcessSettings, Failure> {
    ProcessSettings::load(file).map_err(|problems| {
        for problem in &problems {
            let line = problem
                .line
                .map(|line| format!(":{line}"))
                .unwrap_or_default();
            eprintln!("{}{line}: {}", file.display(), problem.without_line());
        }
        InvalidProcessFileSnafu { path: file }.build()
    })
}

fn boxed(error: NodeError) -> Box<dyn std::error::Error + Send + Sync> {
    Box::new(error)
}

fn listen_for_signal(kind: SignalKind) -> Result<Signal, Failure> {
    signal(kind)
        .map_err(|error| Box::new(error) as Box<dyn std::error::Error + Send + Sync>)
        .context(StartSnafu)
}

async fn serve(settings: ProcessSettings, file: PathBuf) -> Result<(), Failure> {
    let mut terminate = listen_for_signal(SignalKind::terminate())?;
    let mut interrupt = listen_for_signal(SignalKind::interrupt())?;
    let mut hang_up = listen_for_signal(SignalKind::hangup())?;
    let listeners = NodeListeners::bind(&settings)
        .await
        .map_err(boxed)
        .context(StartSnafu)?;
    let node = Node::start(&settings, listeners)
        .await
        .map_err(boxed)
        .context(StartSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(&node, &file),
        }
    }
    node.stop(settings.drain.timeout).await;
    Ok(())
}

/// Reloads the files that the process file names. If that fails, the files in use stay in use.
fn reload(node: &Node, file: &PathBuf) {
    let reloaded = load_process_file(file).map_err(|failure| failure.to_string());
    let result = reloaded.and_then(|settings| {
        node.reload_files(&settings)
            .map_err(|error| error.to_string())
    });
    if let Err(reason) = result {
        let event = stairward_types::LogEvent::ConfigurationRefused.number();
        tracing::warn!(event, reason, "cannot reload files; keeping those in use");
    }
}
