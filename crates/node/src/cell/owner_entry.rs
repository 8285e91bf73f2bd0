use std::net::SocketAddr;

use lagoon_jobs::id::{Epoch, MemberId};
use serde::{Deserialize, Serialize};

/// Who owns the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerEntry {
    pub(crate) member: MemberId,
    /// Where it takes calls of other members.
    pub(crate) address: SocketAddr,
    pub(crate) epoch: Epoch,
}
