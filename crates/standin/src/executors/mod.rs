//! Fake executors, all on one server, each under `/e/{executor}`.

mod executor;
mod executor_settings;
mod executors_api;
mod executors_handle;
mod executors_settings;
mod run_directive;
mod slot;

pub use self::{
    executor_settings::ExecutorSettings, executors_handle::ExecutorsHandle,
    executors_settings::ExecutorsSettings,
};
