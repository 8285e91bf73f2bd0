//! Settings of the scheduler.

mod lease_settings;
mod scheduler_settings;

pub use self::{lease_settings::LeaseSettings, scheduler_settings::SchedulerSettings};
