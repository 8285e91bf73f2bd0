//! Entry of the operators: the query and command language over HTTP and JSON.
//!
//! The process keeps no state that another one could not rebuild. Queries are answered by the schedulers and the store.
//! A command is previewed first; its confirmation code binds the apply to what the preview showed, so that two operators
//! can't override each other unseen:
//!
//! ```no_run
//! use lagoon_admin::{Admin, AdminSettings};
//! use lagoon_process::{Clock, RunError};
//!
//! async fn serve(settings: AdminSettings) -> Result<(), RunError> {
//!     let admin = Admin::bind(settings, Clock::anchored()).await?;
//!     println!("{}", admin.address());
//!     admin.stop().await;
//!     Ok(())
//! }
//! ```

mod access;
mod admin;
mod api;
mod audit;
mod change;
mod fleet;
mod query;
mod settings;
mod util;

use std::process::ExitCode;

use lagoon_process::shutdown::Signal;
use lagoon_process::{Clock, RunError, command_line, logging};

pub use crate::{
    admin::Admin,
    settings::{AdminSettings, AuditSettings, OperatorSettings},
};

/// Runs the program `lagoon-admin`.
pub fn main() -> ExitCode {
    command_line::run("lagoon-admin", run)
}

/// Serves until `signal` is set, then drains.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn run(settings: AdminSettings, mut signal: Signal) -> Result<(), RunError> {
    logging::start(&settings.log, "lagoon-admin");
    let admin = Admin::bind(settings, Clock::anchored()).await?;
    signal.wait().await;
    admin.stop().await;
    Ok(())
}
