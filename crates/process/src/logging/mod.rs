//! Logs as text or as one JSON object a line. Programs that print results log on standard error, daemons of the users'
//! platform on standard output, through a bounded buffer.

mod log_guard;

use std::io::IsTerminal;

use serde::Deserialize;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;

pub use self::log_guard::LogGuard;
use crate::settings::{Checked, Problems};

/// Form of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For collectors.
    Json,
}

/// Settings of the log.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least level to write, or a filter such as `info,lagoon_gateway=debug`.
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

/// Starts the log of this process. A second call changes nothing, so that several roles can run in one process.
pub fn start(settings: &LogSettings, name: &str) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        // Colours only for people: a collector would store the escape codes.
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    if started.is_ok() {
        tracing::info!("process: {name} {} starts", env!("CARGO_PKG_VERSION"));
    }
}

/// Lines that wait to be written. About a second of the busiest node; more are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_000;

/// Starts the log of this process on standard output. Lines are written by a thread of their own, so that no decision
/// waits for a slow reader; what finds the buffer full is dropped and counted. The guard writes the rest when dropped.
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
        tracing::info!("process: {name} {} starts", env!("CARGO_PKG_VERSION"));
    }
    guard
}
