//! The node daemon: accepts jobs from callers and, on the member that owns the cell, places them on executors.
//!
//! Every node accepts jobs and writes them to the store, so accepting a job does not depend on the owner. One member at
//! a time owns the cell: it holds the executors under its epoch, which fences earlier owners, and drives a
//! [`lagoon_jobs::dispatch::Dispatcher`]. The state of the dispatcher changes only under its lock, and the lock is never
//! held during a call: a change produces effects, which are executed afterwards.

mod api;
mod cell;
mod context;
mod node;
mod operator;
mod owner;
mod peers;
mod policy;
mod settings;

use std::process::ExitCode;

pub use crate::{node::Node, settings::NodeSettings};

/// Runs the daemon until it receives a signal to stop.
pub fn run() -> ExitCode {
    lagoon_process::command_line::run_with_reload("lagoon-node", node::run)
}
