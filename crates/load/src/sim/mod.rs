//! Virtual time: an event loop that plays workers and executors against a scheduling policy.
//!
//! It knows starts, run times, inventories, failures and slots, and nothing else about a cluster. Messages take fixed
//! times. Only the cost of decisions is measured by the wall clock.

mod action;
mod baseline;
mod baseline_job;
mod beat;
mod engine;
mod event;
mod executor;
mod fault;
mod job;
mod job_number;
mod running;
mod shard_engine;
mod shard_setup;
mod shard_store;
mod timeline;
mod worker;
mod world;
mod world_hosts;

pub(crate) use self::{
    baseline::Baseline,
    engine::Engine,
    fault::Fault,
    job::Job,
    job_number::JobNumber,
    shard_engine::ShardEngine,
    shard_setup::{new_shard, shard_id},
    shard_store::ShardStore,
    world::World,
};
