//! Simulation of a store and of processes that claim a shard, commit, crash and lose answers.

mod process;
mod store;
mod world;

pub(crate) use self::world::World;
