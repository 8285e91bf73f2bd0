use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;
use lagoon_wire::v1;

/// One scheduler's description of its shards.
#[derive(Debug, Clone)]
pub(crate) struct SchedulerReport {
    pub(crate) address: SocketAddr,
    pub(crate) received_at: Timestamp,
    pub(crate) response: v1::DescribeShardsResponse,
    /// False if the scheduler did not respond to this request and the report is an earlier one.
    pub(crate) fresh: bool,
}
