//! Fake key-value store: an in-memory map under one lock, with revisions, leases and long polls.

mod rate_limiter;
mod store_api;
mod store_calls;
mod store_handle;
mod store_settings;
mod store_state;

pub use self::{store_calls::StoreCalls, store_handle::StoreHandle, store_settings::StoreSettings};
