//! A stand-in for the users' platform: its store, executors and adviser, each on a loopback address, with switches for
//! faults.
//!
//! It counts by itself what ran where, because what must never happen (two runs of one task, more work on an executor
//! than it holds) is not seen in answers.

mod adviser;
mod executor;
mod executor_api;
mod executor_state;
mod kv_api;
mod kv_state;
mod listener;
mod payload;
mod run_log;
mod run_record;
mod site_client;
mod site_handle;
mod store_listener;

pub use self::{
    kv_state::StoreFault, run_log::RunLog, run_record::RunRecord, site_client::SiteClient,
    site_handle::SiteHandle, store_listener::StoreListener,
};
