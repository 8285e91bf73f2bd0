//! Fake workers: many on one server, each under `/w/{worker}` and with its own lock.
//!
//! Time-dependent changes (tasks that end, leases that lapse) are applied when a worker is next looked at, so an idle
//! worker costs nothing.

mod directive;
mod held_lease;
mod placements;
mod task_record;
mod violation;
mod violations;
mod worker;
mod worker_lease;
mod worker_settings;
mod worker_state;
mod worker_tasks;
mod workers_api;
mod workers_handle;
mod workers_settings;

pub use self::{
    violation::Violation, violations::ViolationsResponse, worker_settings::WorkerSettings,
    workers_handle::WorkersHandle, workers_settings::WorkersSettings,
};
