//! Entry of the callers: HTTP and JSON outside, gRPC to the owners of the shards inside.
//!
//! A gateway keeps no state besides open connections and a routing table that heartbeats fill, so that any gateway can
//! answer a retry. It repeats a call only where a repetition can't run the work twice: when the call certainly had no
//! effect, or when the owner recognizes it by its ticket or key.
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

/// Runs the program `lagoon-gateway`.
pub fn main() -> ExitCode {
    command_line::run("lagoon-gateway", run)
}

/// Serves until `signal` is set, then drains.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn run(settings: GatewaySettings, mut signal: Signal) -> Result<(), RunError> {
    logging::start(&settings.log, "lagoon-gateway");
    let gateway = Gateway::bind(settings, Clock::anchored()).await?;
    signal.wait().await;
    gateway.stop().await;
    Ok(())
}
