//! One lock around each shard.

mod owned;
mod shard_cell;

pub(crate) use self::{owned::Owned, shard_cell::ShardCell};
