//! Infrastructure shared by every process of lagoonspindle: settings, logging, metrics, health endpoints, an HTTP
//! server with graceful shutdown, a clock, and a common start and stop sequence.
//!
//! A daemon consists of a settings type and one asynchronous function. Command line, exit codes and endpoints are the
//! same in every program:
//!
//! ```no_run
//! use lagoon_process::settings::{Checked, Problems};
//! use lagoon_process::{RunError, command_line};
//!
//! #[derive(Clone, serde::Deserialize)]
//! #[serde(deny_unknown_fields)]
//! struct Settings {
//!     shards: u16,
//! }
//!
//! impl Checked for Settings {
//!     fn check(&self, problems: &mut Problems) {
//!         problems.require(self.shards > 0, "shards", "a number from 1 on");
//!     }
//! }
//!
//! fn main() -> std::process::ExitCode {
//!     command_line::run("lagoon-example", async |_settings: Settings, mut signal| {
//!         signal.wait().await;
//!         Ok::<(), RunError>(())
//!     })
//! }
//! ```

pub mod answer;
pub mod command_line;
pub mod exit;
pub mod health;
pub mod logging;
pub mod metrics;
pub mod reference;
pub mod server;
pub mod settings;
pub mod shutdown;

mod clock;
mod pause_detector;
mod run_error;
mod sharded;
mod token;

pub use crate::{
    clock::Clock, metrics::Metrics, pause_detector::PauseDetector, run_error::RunError,
    sharded::Sharded, token::Token,
};
