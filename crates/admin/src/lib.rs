//! Operators' API: the query and command language over HTTP and JSON.
//!
//! The process holds no state that another admin process could not rebuild: queries are answered from the schedulers and
//! the store. A command is previewed before it is applied. The confirmation code of the preview binds the apply to what
//! the preview showed, so that an operator can't overwrite another operator's change without seeing it:
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

mod admin;
mod api;
mod audit;
mod auth;
mod change;
mod query;
mod schedulers;
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

/// Serves requests until `signal` fires, then drains.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(settings: AdminSettings, mut signal: Signal) -> Result<(), RunError> {
    logging::start(&settings.log, "lagoon-admin");
    let admin = Admin::bind(settings, Clock::anchored()).await?;
    signal.wait().await;
    admin.stop().await;
    Ok(())
}
