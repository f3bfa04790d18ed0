//! Log output: `tracing` lines on standard error, as text or JSON.

use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Starts logging at a level (`error`, `warn`, `info`, `debug`, `trace`), or at a filter as
/// `tracing-subscriber` reads them. Only the first call counts.
pub fn start(filter: &str, format: LogFormat) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second start happens only in tests and is harmless.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
