//! Worker leases from the holder's point of view.
//!
//! The holder counts a lease from before it sent the request, the worker from when it handled it, so the holder's view
//! always ends first. What the worker may still run is counted the other way round, from when the answer came.

mod lease_change;
mod worker_event;
mod worker_lease;
mod worker_lifecycle;
mod worker_phase;

pub use self::{
    lease_change::LeaseChange, worker_event::WorkerEvent, worker_lease::WorkerLease,
    worker_lifecycle::WorkerLifecycle, worker_phase::WorkerPhase,
};
