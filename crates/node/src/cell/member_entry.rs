use std::net::SocketAddr;

use lagoon_jobs::id::MemberId;
use serde::{Deserialize, Serialize};

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberEntry {
    pub(crate) member: MemberId,
    /// Where it takes calls of other members.
    pub(crate) address: SocketAddr,
    /// Processor share in cores.
    pub(crate) strength: f64,
    /// Time that the store takes to answer it, in steps of ten milliseconds.
    #[serde(default)]
    pub(crate) store_distance: u64,
    /// It stops soon.
    #[serde(default)]
    pub(crate) leaving: bool,
}
