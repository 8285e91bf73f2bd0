//! A shard with an in-memory store, simulated workers and executors.

mod fixture;
mod owner;
mod store;

pub(crate) use self::{
    fixture::{OTHER_WORKER, WORKER, at, batch, gang, request, worker},
    owner::Owner,
    store::Store,
};
