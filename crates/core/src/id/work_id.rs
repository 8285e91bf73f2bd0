use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, ParseIdError, Sequence, ShardId};

/// Id of a piece of work, written `w:domain:shard:epoch:sequence`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct WorkId {
    shard: ShardId,
    epoch: Epoch,
    sequence: Sequence,
}

impl WorkId {
    /// Names number `sequence` of the owner of `shard` at `epoch`.
    pub fn new(shard: ShardId, epoch: Epoch, sequence: Sequence) -> Self {
        Self {
            shard,
            epoch,
            sequence,
        }
    }

    /// Returns the home shard.
    pub fn shard(&self) -> &ShardId {
        &self.shard
    }

    /// Returns the epoch of the owner that created it.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns its number within that epoch.
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }
}

impl fmt::Display for WorkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "w:{}:{}:{}", self.shard, self.epoch, self.sequence)
    }
}

impl FromStr for WorkId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("work", text);
        let rest = text.strip_prefix("w:").ok_or_else(invalid)?;
        let (rest, sequence) = rest.rsplit_once(':').ok_or_else(invalid)?;
        let (shard, epoch) = rest.rsplit_once(':').ok_or_else(invalid)?;
        let shard = shard.parse().map_err(|_| invalid())?;
        let epoch = epoch.parse().map_err(|_| invalid())?;
        let sequence = sequence.parse().map_err(|_| invalid())?;
        Ok(Self {
            shard,
            epoch,
            sequence,
        })
    }
}

impl TryFrom<String> for WorkId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<WorkId> for String {
    fn from(id: WorkId) -> String {
        id.to_string()
    }
}
