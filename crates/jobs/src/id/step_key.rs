use std::fmt;
use std::str::FromStr;

use lagoon_core::id::ParseIdError;
use serde::{Serialize, Serializer};

use crate::id::{JobId, TaskKey};

/// Id of one step of one occurrence of a job, written `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    job: JobId,
    occurrence: u32,
    step: u16,
}

impl StepKey {
    /// Creates the id of step number `step` of an occurrence. Both are counted from 0.
    pub const fn new(job: JobId, occurrence: u32, step: u16) -> Self {
        Self {
            job,
            occurrence,
            step,
        }
    }

    /// Returns the job.
    pub const fn job(self) -> JobId {
        self.job
    }

    /// Returns the number of the occurrence.
    pub const fn occurrence(self) -> u32 {
        self.occurrence
    }

    /// Returns the number of the step within the job.
    pub const fn step(self) -> u16 {
        self.step
    }

    /// Returns the id of task number `index` of this step.
    pub const fn task(self, index: u32) -> TaskKey {
        TaskKey::new(self, index)
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl Serialize for StepKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl FromStr for StepKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("step", text);
        let (rest, step) = text.rsplit_once('.').ok_or_else(invalid)?;
        let (job, occurrence) = rest.rsplit_once('.').ok_or_else(invalid)?;
        Ok(Self {
            job: job.parse().map_err(|_| invalid())?,
            occurrence: occurrence.parse().map_err(|_| invalid())?,
            step: step.parse().map_err(|_| invalid())?,
        })
    }
}
