//! Tests of the gateway against fake schedulers.

mod access;
mod bad_input;
mod fake_peer;
mod fake_scheduler;
mod harness;
mod homes;
mod jobs;
mod life_cycle;
mod limits;
mod retries;
