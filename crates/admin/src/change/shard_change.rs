use std::net::SocketAddr;

use lagoon_wire::v1::apply_request::Change;

/// The part of a command that one shard's owner carries out.
#[derive(Debug, Clone)]
pub(super) struct ShardChange {
    pub(super) shard: String,
    pub(super) epoch: u64,
    pub(super) address: SocketAddr,
    pub(super) change: Change,
}
