use std::collections::BTreeMap;

use crate::id::{Epoch, FailureDomain, PolicyVersion, ProcessId, ShardId};

/// One of the system's processes, as its heartbeat describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Process.
    pub process: ProcessId,
    /// Failure domain that it runs in.
    pub domain: FailureDomain,
    /// Address for the system's own calls.
    pub address: String,
    /// Shards that it owns, with their epochs.
    pub shards: BTreeMap<ShardId, Epoch>,
    /// Policy version that it applies.
    pub policy: PolicyVersion,
}
