//! What the golden sessions share: a fake scheduler, a store behind a gate that loses answers, and a transcript.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod client;
mod fake_scheduler;
mod fake_services;
mod gate;
mod session;

pub(crate) use self::{
    client::Client,
    fake_scheduler::{FakeScheduler, work},
    gate::{Gate, Loss},
    session::Session,
};
