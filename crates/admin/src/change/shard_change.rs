use std::net::SocketAddr;

use lagoon_wire::v1::apply_request::Change;

/// The part of a command that is sent to the owner of one shard.
#[derive(Debug, Clone)]
pub(super) struct ShardChange {
    pub(super) shard: String,
    pub(super) epoch: u64,
    pub(super) address: SocketAddr,
    pub(super) change: Change,
}
