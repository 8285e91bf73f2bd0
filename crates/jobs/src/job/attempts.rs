use crate::id::{Checkpoint, RunNumber};

/// Runs that a task, or a gang as a whole, has used.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Runs that failed.
    pub failures: u32,
    /// Number of the last run that failed, so that an end listed twice counts once.
    pub last_failed: RunNumber,
    /// Highest number used by this owner.
    pub last: RunNumber,
    /// Progress that the next run resumes from.
    pub checkpoint: Option<Checkpoint>,
}

impl Attempts {
    /// Counts a failed run; false if it was counted before.
    pub fn fail(&mut self, number: RunNumber) -> bool {
        let is_new = number > self.last_failed;
        if is_new {
            self.failures += 1;
            self.last_failed = number;
        }
        is_new
    }

    /// Takes the number of the next run.
    pub fn next_number(&mut self, floor: RunNumber) -> RunNumber {
        self.last = self.last.max(floor).max(self.last_failed).next();
        self.last
    }
}
