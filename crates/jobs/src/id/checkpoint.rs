use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Opaque saved progress of a task, from which a later run resumes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Checkpoint(Arc<str>);

impl fmt::Display for Checkpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Checkpoint {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

impl From<String> for Checkpoint {
    fn from(text: String) -> Self {
        Self(text.into())
    }
}

impl From<Checkpoint> for String {
    fn from(checkpoint: Checkpoint) -> String {
        checkpoint.0.as_ref().to_owned()
    }
}
