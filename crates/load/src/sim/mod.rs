//! Discrete event simulation of workers and executors under a scheduling policy, in virtual time.
//!
//! Models only starts, run times, inventories, failures and slots. Messages have a fixed latency. Decision costs are
//! measured in wall-clock time.

mod action;
mod baseline;
mod baseline_job;
mod engine;
mod event;
mod event_queue;
mod executor;
mod fault;
mod heartbeat_response;
mod job;
mod job_number;
mod known_task;
mod shard_engine;
mod shard_setup;
mod shard_store;
mod simulation;
mod simulation_hosts;
mod worker;

pub(crate) use self::{
    baseline::Baseline,
    engine::Engine,
    fault::Fault,
    job::Job,
    job_number::JobNumber,
    shard_engine::ShardEngine,
    shard_setup::{new_shard, shard_id},
    shard_store::ShardStore,
    simulation::Simulation,
};
