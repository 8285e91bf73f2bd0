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

impl OwnerEntry {
    /// Tells whether it names `member` with an epoch that this process does not serve; `served` is the last one it did.
    pub(super) fn is_unserved(&self, member: &MemberId, served: Option<Epoch>) -> bool {
        self.member == *member && served.is_none_or(|served| served < self.epoch)
    }
}
