use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;
use lagoon_wire::v1;

/// What one scheduler said about its shards.
#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) address: SocketAddr,
    pub(crate) at: Timestamp,
    pub(crate) answer: v1::DescribeShardsResponse,
    /// False if the scheduler did not answer this time and the part is an earlier answer.
    pub(crate) fresh: bool,
}
