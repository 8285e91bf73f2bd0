//! Utilities of the golden sessions: a fake scheduler, a store behind a proxy that injects faults, and a transcript.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod client;
mod fake_scheduler;
mod fake_services;
mod session;
mod store_proxy;

pub(crate) use self::{
    client::Client,
    fake_scheduler::{FakeScheduler, work},
    session::Session,
    store_proxy::{StoreProxy, WriteFault},
};
