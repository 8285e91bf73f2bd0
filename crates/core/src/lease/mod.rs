//! Worker leases, as seen by the scheduler that holds them.
//!
//! The holder starts the time to live before it sends a request, the worker when it handles the request, so the lease
//! always expires at the holder first. The time by which the worker has stopped its tasks is computed conservatively in
//! the other direction, from when the holder received the answer.

mod lease_change;
mod worker_event;
mod worker_lease;
mod worker_lifecycle;
mod worker_phase;

pub use self::{
    lease_change::LeaseChange, worker_event::WorkerEvent, worker_lease::WorkerLease,
    worker_lifecycle::WorkerLifecycle, worker_phase::WorkerPhase,
};
