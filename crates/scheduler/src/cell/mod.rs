//! One lock around each shard.

mod in_flight;
mod owned;
mod placed_by;
mod shard_cell;

pub(crate) use self::{
    in_flight::InFlight, owned::Owned, placed_by::PlacedBy, shard_cell::ShardCell,
};
