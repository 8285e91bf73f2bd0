use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{FailureDomain, ParseIdError, ShardNumber};

/// Id of a shard: a failure domain and a number, written `domain:number`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ShardId {
    domain: FailureDomain,
    number: ShardNumber,
}

impl ShardId {
    /// Creates the id of shard `number` in `domain`.
    pub fn new(domain: FailureDomain, number: ShardNumber) -> Self {
        Self { domain, number }
    }

    /// Returns the failure domain.
    pub fn domain(&self) -> &FailureDomain {
        &self.domain
    }

    /// Returns the shard number within the failure domain.
    pub fn number(&self) -> ShardNumber {
        self.number
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.domain, self.number)
    }
}

impl FromStr for ShardId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("shard", text);
        let (domain, number) = text.split_once(':').ok_or_else(invalid)?;
        let domain = domain.parse().map_err(|_| invalid())?;
        let number = number.parse().map_err(|_| invalid())?;
        Ok(Self { domain, number })
    }
}

text_serde!(ShardId);
