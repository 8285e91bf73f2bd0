//! A shard with a store, one worker and one executor, all in memory.

mod owner;
mod store;

pub(crate) use self::{
    owner::{OTHER_WORKER, Owner, WORKER, at, batch, gang, request, worker},
    store::Store,
};
