use crate::id::{Epoch, ProcessId};
use crate::journal::StoreVersion;

/// What the head says about a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim took effect; the head has this version.
    Won(StoreVersion),
    /// The claim has had no effect yet and may be sent again, unchanged.
    Pending,
    /// The head changed in another way; make a new claim from the current head.
    Superseded {
        /// Owner by the current head.
        owner: ProcessId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// The head was deleted, which no process does.
    Missing,
}
