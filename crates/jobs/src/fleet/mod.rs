//! Executors: their capacity, what is reserved on them, and how long what they run may last.
//!
//! An executor is used only after it has listed its runs to the present owner, because until then its free resources
//! are unknown.

mod availability;
mod end_cursor;
mod executor;
mod executor_entry;
mod executor_health;
mod executor_record;
mod executor_slot;
#[expect(clippy::module_inception, reason = "one type per file")]
mod fleet;
mod free_capacity;
mod lease_clock;

pub use self::{
    availability::Availability, end_cursor::EndCursor, executor::Executor,
    executor_entry::ExecutorEntry, executor_health::ExecutorHealth,
    executor_record::ExecutorRecord, executor_slot::ExecutorSlot, fleet::Fleet,
    free_capacity::FreeCapacity, lease_clock::LeaseClock,
};
