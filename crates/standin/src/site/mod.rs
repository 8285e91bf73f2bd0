//! A fake of the platform that nodes run on: store, executors and adviser, each on a loopback address, with fault
//! injection.
//!
//! It records every run itself, because responses alone don't show violations such as concurrent runs of one task or
//! an executor that is assigned more than its capacity.

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
