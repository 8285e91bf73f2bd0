//! Tests of the gateway against schedulers that are small fakes.

mod access;
mod bad_input;
mod fake;
mod fake_peer;
mod homes;
mod jobs;
mod life_cycle;
mod limits;
mod retries;
mod site;
