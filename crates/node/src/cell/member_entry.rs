use std::net::SocketAddr;

use lagoon_jobs::id::MemberId;
use serde::{Deserialize, Serialize};

/// Entry of a member in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberEntry {
    pub(crate) member: MemberId,
    /// Address for calls of other members.
    pub(crate) address: SocketAddr,
    /// CPU share in cores.
    pub(crate) strength: f64,
    /// Latency of the store from this member, in steps of 10 ms.
    #[serde(default)]
    pub(crate) store_distance: u64,
    /// Whether the member is about to stop.
    #[serde(default)]
    pub(crate) leaving: bool,
}
