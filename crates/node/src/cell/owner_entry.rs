use std::net::SocketAddr;

use lagoon_jobs::id::{Epoch, MemberId};
use serde::{Deserialize, Serialize};

/// Entry of the owner of the cell in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerEntry {
    pub(crate) member: MemberId,
    /// Address for calls of other members.
    pub(crate) address: SocketAddr,
    pub(crate) epoch: Epoch,
}

impl OwnerEntry {
    /// Returns true if the entry names `member` with an epoch later than `served`, the last epoch that this process served.
    pub(super) fn is_unserved(&self, member: &MemberId, served: Option<Epoch>) -> bool {
        self.member == *member && served.is_none_or(|served| served < self.epoch)
    }
}
