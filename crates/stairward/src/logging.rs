//! Log output: `tracing` events on standard error, as text or JSON.

use tracing_subscriber::EnvFilter;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Initializes logging with a level (`error`, `warn`, `info`, `debug`, `trace`) or a filter in the
/// syntax of `tracing-subscriber`. Only the first call has an effect.
pub fn initialize(filter: &str, format: LogFormat) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // Fails if logging is initialized already, which happens only in tests and is harmless.
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
