//! The node daemon: takes jobs from callers and, on the member that owns the cell, decides where they run.
//!
//! Every node accepts jobs; the store is where they are kept, so no acceptance waits for the owner. One member at a time
//! owns the cell: it holds the executors under its epoch, which fences earlier owners, and drives a
//! [`lagoon_jobs::dispatch::Dispatcher`]. The state of the dispatcher is only changed under its lock, and the lock is
//! never held while a call is made: a change leaves orders, which are carried out afterwards.

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

/// Runs the program until it is told to stop.
pub fn run() -> ExitCode {
    lagoon_process::command_line::run_following("lagoon-node", node::run)
}
