//! A model of a shard's surroundings: a store, workers, an executor and processes that own the shard one after another.
//! Every call is a message that may be delayed, lost, or lose its answer.

mod executor;
mod message;
mod process;
mod rules;
mod step;
mod store;
mod worker;
mod world;

pub(crate) use self::{step::Step, world::World};
