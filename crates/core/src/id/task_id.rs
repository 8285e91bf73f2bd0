use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{Attempt, ParseIdError, TaskIndex, WorkId};

/// Id of a task: its work, its index within the work and the attempt to start it, written `work:index` or
/// `work:index+attempt`.
///
/// A worker starts each id at most once. A task that is started again gets the id of a new attempt, so that a delayed
/// message about the earlier attempt does not affect it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    work: WorkId,
    member: TaskIndex,
    attempt: Option<Attempt>,
}

impl TaskId {
    /// Creates the id of the task at `index` of `work`, without an attempt.
    pub fn new(work: WorkId, index: TaskIndex) -> Self {
        Self {
            work,
            member: index,
            attempt: None,
        }
    }

    /// Returns the id of `attempt` at the same task.
    pub fn with_attempt(self, attempt: Attempt) -> Self {
        Self {
            attempt: Some(attempt),
            ..self
        }
    }

    /// Returns the id of the work that the task belongs to.
    pub fn work(&self) -> &WorkId {
        &self.work
    }

    /// Returns the attempt, or `None` if the id has none.
    pub fn attempt(&self) -> Option<Attempt> {
        self.attempt
    }

    /// Returns the index within the work.
    pub fn index(&self) -> TaskIndex {
        self.member
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.work, self.member)?;
        match self.attempt {
            Some(attempt) => write!(f, "+{attempt}"),
            None => Ok(()),
        }
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("task", text);
        let (base, attempt) = match text.split_once('+') {
            Some((base, attempt)) => (base, Some(attempt)),
            None => (text, None),
        };
        let (work, index) = base.rsplit_once(':').ok_or_else(invalid)?;
        let work = work.parse().map_err(|_| invalid())?;
        let index = index.parse().map_err(|_| invalid())?;
        let attempt = attempt.map(str::parse).transpose().map_err(|_| invalid())?;
        Ok(Self {
            work,
            member: index,
            attempt,
        })
    }
}

text_serde!(TaskId);
