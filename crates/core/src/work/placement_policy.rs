use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{FailureDomain, RackId};
use crate::work::Spread;

/// Where the tasks of a piece of work may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementPolicy {
    /// Distribution over racks.
    pub spread: Spread,
    /// Racks that may hold a task; empty means all.
    pub racks: SmallVec<[RackId; 4]>,
    /// Failure domains that may run the work, in addition to the home domain.
    pub domains: SmallVec<[FailureDomain; 2]>,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            spread: Spread::Pack,
            racks: SmallVec::new(),
            domains: SmallVec::new(),
        }
    }
}
