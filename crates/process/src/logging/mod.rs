//! Logging as text or as one JSON object per line. [`start`] logs to standard error, so that programs can print results
//! to standard output; [`start_non_blocking`] logs to standard output through a bounded buffer.

mod log_guard;

use std::io::IsTerminal;

use serde::Deserialize;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;

pub use self::log_guard::LogGuard;
use crate::settings::{Checked, Problems};

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line, for log collectors.
    Json,
}

/// Logging settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Minimum level, or a filter such as `info,lagoon_gateway=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

impl Checked for LogSettings {
    fn check(&self, problems: &mut Problems) {
        let valid = EnvFilter::try_new(&self.level).is_ok();
        problems.require(
            valid,
            "level",
            "error, warn, info, debug, trace or a filter",
        );
    }
}

/// Starts logging of this process to standard error. Further calls have no effect, so that several daemons can run in
/// one process.
pub fn start(settings: &LogSettings, name: &str) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        // Colours only on a terminal: a log collector would store the escape codes.
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if started.is_ok() {
        tracing::info!("process: {name} {} started", env!("CARGO_PKG_VERSION"));
    }
}

/// Lines buffered for the writer thread: about one second of output of the busiest node.
const MAX_BUFFERED_LINES: usize = 4_000;

/// Starts logging of this process to standard output. A separate thread writes the lines, so that scheduling decisions
/// never wait for a slow reader; lines that don't fit the buffer are dropped and counted. The guard flushes the buffer
/// on drop.
pub fn start_non_blocking(settings: &LogSettings, name: &str) -> LogGuard {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let guard = LogGuard::new(worker, writer.error_counter());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(false)
        .with_writer(writer);
    let started = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    if started.is_ok() {
        tracing::info!("process: {name} {} started", env!("CARGO_PKG_VERSION"));
    }
    guard
}
