//! A shard with a store, one worker and one executor, all in memory.

mod fixture;
mod owner;
mod store;

pub(crate) use self::{
    fixture::{OTHER_WORKER, WORKER, at, batch, gang, request, worker},
    owner::Owner,
    store::Store,
};
