//! Gateway of the cluster: an HTTP and JSON API for callers, which forwards requests over gRPC to the owners of shards.
//!
//! A gateway has no state besides open connections and a routing table that it builds from heartbeats, so any gateway
//! can answer a retry. It retries a call only if that can't run the work twice: when the call had no effect, or when
//! the owner detects the duplicate by its ticket or idempotency key.
//!
//! ```no_run
//! use lagoon_gateway::{Gateway, GatewaySettings};
//! use lagoon_process::{Clock, RunError};
//!
//! async fn serve(settings: GatewaySettings) -> Result<(), RunError> {
//!     let gateway = Gateway::bind(settings, Clock::anchored()).await?;
//!     println!("{}", gateway.address());
//!     gateway.stop().await;
//!     Ok(())
//! }
//! ```

mod access;
mod api;
mod forward;
mod gateway;
mod limit;
mod routing;
mod settings;

use std::process::ExitCode;

use lagoon_process::shutdown::Signal;
use lagoon_process::{Clock, RunError, command_line, logging};

pub use crate::{
    gateway::Gateway,
    settings::{GatewaySettings, TokenSettings},
};

/// Entry point of the program `lagoon-gateway`.
pub fn main() -> ExitCode {
    command_line::run("lagoon-gateway", run)
}

/// Serves until `signal` is set, then stops gracefully.
///
/// # Errors
///
/// If the address or the metrics socket can't be opened.
pub async fn run(settings: GatewaySettings, mut signal: Signal) -> Result<(), RunError> {
    logging::start(&settings.log, "lagoon-gateway");
    let gateway = Gateway::bind(settings, Clock::anchored()).await?;
    signal.wait().await;
    gateway.stop().await;
    Ok(())
}
