//! The scheduler daemon: owns shards, places their work and renews the leases on their workers.
//!
//! The decisions are in `lagoon_core::shard`. This crate adds a lock around each shard ([`cell`]), the tasks that drive
//! it ([`drive`]), and the adapters to the platform and to other processes. The state of a shard changes only under its
//! lock, and the lock is never held during a call: a change produces effects, which are executed afterwards.
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

/// Runs the program until it receives a signal to stop.
pub fn run() -> ExitCode {
    lagoon_process::command_line::run("lagoon-scheduler", scheduler::run)
}
