use serde::{Deserialize, Serialize};

use crate::policy::KindPolicy;
use crate::work::WorkKind;

/// Shares of each kind of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KindPolicies {
    /// Service requests.
    pub service: KindPolicy,
    /// Batch runs.
    pub batch: KindPolicy,
    /// Gang jobs.
    pub gang: KindPolicy,
}

impl KindPolicies {
    /// Returns the shares of `kind`.
    pub fn get(&self, kind: WorkKind) -> &KindPolicy {
        match kind {
            WorkKind::Service => &self.service,
            WorkKind::Batch => &self.batch,
            WorkKind::Gang => &self.gang,
        }
    }
}
