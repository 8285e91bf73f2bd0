//! The decision code alone, at sizes for which no events are played.

pub(crate) mod cost;
mod decision_bench;
pub(crate) mod domains;
mod running_task;
mod shard_cost;

pub(crate) use self::decision_bench::DecisionBench;
