//! The scheduler daemon: owns shards, places their work and keeps the leases on their workers.
//!
//! The decisions are in `lagoon_core::shard`. This crate gives each shard a lock ([`cell`]), the tasks that drive it
//! ([`drive`]), and the adapters to the platform and to other processes. The state of a shard is only changed under its
//! lock, and the lock is never held while a call is made: a change leaves effects, which are carried out afterwards.
//!
//! ```no_run
//! # async fn example(settings: lagoon_scheduler::SchedulerSettings) -> Result<(), lagoon_process::RunError> {
//! let scheduler = lagoon_scheduler::Scheduler::bind(settings, lagoon_process::Clock::anchored()).await?;
//! println!("{}", scheduler.address());
//! scheduler.stop().await;
//! # Ok(())
//! # }
//! ```

mod cell;
mod context;
mod convert;
mod drive;
mod hosts;
mod members;
mod policy;
mod scheduler;
mod service;
mod settings;
mod util;

use std::process::ExitCode;

pub use crate::{
    scheduler::Scheduler,
    settings::{LeaseSettings, SchedulerSettings},
};

/// Runs the program until it is told to stop.
pub fn run() -> ExitCode {
    lagoon_process::command_line::run("lagoon-scheduler", scheduler::run)
}
