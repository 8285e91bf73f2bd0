use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, ParseIdError, Sequence, ShardId};

/// Ticket for one request that runs at most once, written `t:domain:shard:epoch:sequence`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Ticket {
    shard: ShardId,
    epoch: Epoch,
    sequence: Sequence,
}

impl Ticket {
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

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t:{}:{}:{}", self.shard, self.epoch, self.sequence)
    }
}

impl FromStr for Ticket {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("ticket", text);
        let rest = text.strip_prefix("t:").ok_or_else(invalid)?;
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

impl TryFrom<String> for Ticket {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Ticket> for String {
    fn from(id: Ticket) -> String {
        id.to_string()
    }
}
