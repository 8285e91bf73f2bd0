use std::fmt;
use std::str::FromStr;

use lagoon_core::id::ParseIdError;
use serde::{Serialize, Serializer};

use crate::id::{JobId, StepKey};

/// Id of one task of a step, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    step: StepKey,
    index: u32,
}

impl TaskKey {
    /// Creates the id of task number `index` of a step, counted from 0.
    pub const fn new(step: StepKey, index: u32) -> Self {
        Self { step, index }
    }

    /// Returns the step.
    pub const fn step(self) -> StepKey {
        self.step
    }

    /// Returns the job.
    pub const fn job(self) -> JobId {
        self.step.job()
    }

    /// Returns the number of the task within its step.
    pub const fn index(self) -> u32 {
        self.index
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl Serialize for TaskKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl FromStr for TaskKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("task", text);
        let (step, index) = text.rsplit_once('.').ok_or_else(invalid)?;
        Ok(Self {
            step: step.parse().map_err(|_| invalid())?,
            index: index.parse().map_err(|_| invalid())?,
        })
    }
}
