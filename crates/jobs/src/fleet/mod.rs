//! Executors: their capacity, the resources reserved on them, and the leases of their runs.
//!
//! An executor gets new runs only after it has listed its runs to the current owner, because its free resources are
//! unknown until then.

mod availability;
mod clock_generation;
mod end_cursor;
mod executor;
mod executor_entry;
mod executor_health;
mod executor_identity;
mod executor_record;
mod executor_slot;
#[expect(clippy::module_inception, reason = "one type per file")]
mod fleet;
mod free_capacity;
mod identity_change;
mod lease_clock;

pub use self::{
    availability::Availability, clock_generation::ClockGeneration, end_cursor::EndCursor,
    executor::Executor, executor_entry::ExecutorEntry, executor_health::ExecutorHealth,
    executor_identity::ExecutorIdentity, executor_record::ExecutorRecord,
    executor_slot::ExecutorSlot, fleet::Fleet, free_capacity::FreeCapacity,
    identity_change::IdentityChange, lease_clock::LeaseClock,
};
