//! Worker health and retries.
//!
//! A worker that fails everything it starts frees its capacity at once and would attract ever more work. [`WorkerHealth`]
//! rests such a worker for a time. The share of workers at rest is capped, because failures of the work itself must not
//! take the whole fleet out of use. [`RetryBudget`] bounds retries, so that they don't multiply the load of an outage.

mod failure_record;
mod health_change;
mod retry_budget;
mod worker_health;

pub use self::{
    health_change::HealthChange, retry_budget::RetryBudget, worker_health::WorkerHealth,
};
