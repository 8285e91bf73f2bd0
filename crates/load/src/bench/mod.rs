//! Benchmarks of the decision code alone, at sizes that are too large for the event simulation.

pub(crate) mod cost;
mod decision_bench;
pub(crate) mod domains;
mod running_task;
mod shard_cost;

pub(crate) use self::decision_bench::DecisionBench;
