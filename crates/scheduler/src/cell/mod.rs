//! One lock around each shard.

mod owned;
mod placed_by;
mod shard_cell;

pub(crate) use self::{owned::Owned, placed_by::PlacedBy, shard_cell::ShardCell};
