use smallvec::SmallVec;

use crate::id::{Checkpoint, RunNumber};

/// Attempts of a task, or of a gang as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Numbers of the runs that failed. They are kept rather than counted, because a new owner receives ends in any
    /// order and some of them twice.
    pub failed: SmallVec<[RunNumber; 4]>,
    /// Highest run number known to this owner.
    pub last: RunNumber,
    /// Saved progress from which the next run resumes.
    pub checkpoint: Option<Checkpoint>,
}

impl Attempts {
    /// Records a failed run, unless it was recorded before.
    pub fn record_failure(&mut self, number: RunNumber) {
        if !self.failed.contains(&number) {
            self.failed.push(number);
        }
    }

    /// Returns the number of failed runs.
    pub fn failures(&self) -> u32 {
        self.failed.len() as u32
    }

    /// Allocates the number of the next run, which is higher than `floor` and all earlier numbers.
    pub fn next_number(&mut self, floor: RunNumber) -> RunNumber {
        let failed = self.failed.iter().max().copied().unwrap_or_default();
        self.last = self.last.max(floor).max(failed).next();
        self.last
    }
}
