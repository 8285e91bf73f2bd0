//! Fake workers, all on one server, each under `/w/{worker}` and with its own lock.
//!
//! Time-dependent changes, such as ends of tasks and expiry of leases, are applied lazily at the next access to a
//! worker, so that idle workers cost nothing.

mod held_lease;
mod placements;
mod task_directive;
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
