use crate::id::{Epoch, ProcessId};
use crate::journal::StoreVersion;

/// Result of a claim, according to the current head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim took effect, and the head has this version.
    Won(StoreVersion),
    /// The claim has not taken effect yet and may be sent again, unchanged.
    Pending,
    /// The head was changed by another write. Create a new claim from the current head.
    Superseded {
        /// Owner according to the current head.
        owner: ProcessId,
        /// Epoch of that owner.
        epoch: Epoch,
    },
    /// The head was deleted, which no process does.
    Missing,
}
