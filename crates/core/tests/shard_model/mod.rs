//! A simulated environment of a shard: a store, workers, an executor, and processes that own the shard one after
//! another. Every call is a message that may be delayed or lost, or whose response may be lost.

mod executor;
mod invariants;
mod message;
mod process;
mod step;
mod store;
mod worker;
mod world;

pub(crate) use self::{step::Step, world::World};
