use std::fmt;

use lagoon_core::id::{HostId, ProcessId, ShardId};

use crate::syntax::{DrainTarget, Setting, WorkAction, WorkSelector};

/// A statement that changes the state of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Cancels, holds or releases work.
    Work(WorkAction, WorkSelector),
    /// Stops assigning new work to a host or rack.
    Drain(DrainTarget),
    /// Ends a drain.
    Undrain(DrainTarget),
    /// Sets a value of the policy.
    Set(Setting),
    /// Hands a shard over to another scheduler.
    HandOver {
        /// The shard.
        shard: ShardId,
        /// The new owner.
        to: ProcessId,
    },
    /// Confirms that a host is dead, so that the work it may have run can be resolved.
    ConfirmDeadHost(HostId),
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Work(action, target) => write!(f, "{action} {target}"),
            Self::Drain(place) => write!(f, "drain {place}"),
            Self::Undrain(place) => write!(f, "undrain {place}"),
            Self::Set(setting) => write!(f, "set {setting}"),
            Self::HandOver { shard, to } => write!(f, "hand over {shard} to {to}"),
            Self::ConfirmDeadHost(host) => write!(f, "confirm dead host {host}"),
        }
    }
}
