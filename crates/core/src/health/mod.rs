//! Worker health and retries.
//!
//! A worker that fails every task at once always has free capacity, and would receive ever more work. [`WorkerHealth`]
//! rests such a worker: it receives no new work for a time. The share of resting workers is capped, because failures of
//! the work itself must not take the whole fleet out of use. [`RetryBudget`] limits retries, which would otherwise
//! multiply the load during an outage.

mod failure_record;
mod health_change;
mod retry_budget;
mod worker_health;

pub use self::{
    health_change::HealthChange, retry_budget::RetryBudget, worker_health::WorkerHealth,
};
