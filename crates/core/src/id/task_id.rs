use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::id::{MemberIndex, ParseIdError, WorkId};

/// Id of a task: a piece of work and one of its members, written as the work id, a colon and the member index.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    work: WorkId,
    member: MemberIndex,
}

impl TaskId {
    /// Names member `member` of `work`.
    pub fn new(work: WorkId, member: MemberIndex) -> Self {
        Self { work, member }
    }

    /// Returns the piece of work.
    pub fn work(&self) -> &WorkId {
        &self.work
    }

    /// Returns the position within the piece of work.
    pub fn member(&self) -> MemberIndex {
        self.member
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.work, self.member)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("task", text);
        let (work, member) = text.rsplit_once(':').ok_or_else(invalid)?;
        let work = work.parse().map_err(|_| invalid())?;
        let member = member.parse().map_err(|_| invalid())?;
        Ok(Self { work, member })
    }
}

impl TryFrom<String> for TaskId {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<TaskId> for String {
    fn from(task: TaskId) -> String {
        task.to_string()
    }
}
