use std::fmt;

use lagoon_core::id::{HostId, ProcessId, ShardId};

use crate::syntax::{Place, Setting, Target, WorkAction};

/// A statement that changes something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Cancels, holds or releases work.
    Work(WorkAction, Target),
    /// Gives a host or rack no new work.
    Drain(Place),
    /// Ends a drain.
    Undrain(Place),
    /// Sets a value of the policy.
    Set(Setting),
    /// Gives a shard to another scheduler.
    HandOver {
        /// The shard.
        shard: ShardId,
        /// Its next owner.
        to: ProcessId,
    },
    /// Confirms that a host is dead, so that what it may have run can be settled.
    ConfirmDead(HostId),
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Work(action, target) => write!(f, "{action} {target}"),
            Self::Drain(place) => write!(f, "drain {place}"),
            Self::Undrain(place) => write!(f, "undrain {place}"),
            Self::Set(setting) => write!(f, "set {setting}"),
            Self::HandOver { shard, to } => write!(f, "hand over {shard} to {to}"),
            Self::ConfirmDead(host) => write!(f, "confirm dead host {host}"),
        }
    }
}
