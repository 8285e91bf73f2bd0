use std::collections::BTreeMap;

use crate::id::{Epoch, FailureDomain, PolicyVersion, ProcessId, ShardId};

/// A scheduler process, as described by its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Id of the process.
    pub process: ProcessId,
    /// Failure domain in which it runs.
    pub domain: FailureDomain,
    /// Address for calls of other members.
    pub address: String,
    /// Shards that it owns and their epochs.
    pub shards: BTreeMap<ShardId, Epoch>,
    /// Policy version that it applies.
    pub policy: PolicyVersion,
}
