//! The lock around each shard.

mod in_flight_guard;
mod owned_shard;
mod placed_by;
mod shard_cell;

pub(crate) use self::{
    in_flight_guard::InFlightGuard, owned_shard::OwnedShard, placed_by::PlacedBy,
    shard_cell::ShardCell,
};
