use smallvec::SmallVec;

use crate::id::{Checkpoint, RunNumber};

/// Runs that a task, or a gang as a whole, has used.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Runs that failed. A new owner hears of ends in any order and of some twice, so each is kept by its number.
    pub failed: SmallVec<[RunNumber; 4]>,
    /// Highest number used by this owner.
    pub last: RunNumber,
    /// Progress that the next run resumes from.
    pub checkpoint: Option<Checkpoint>,
}

impl Attempts {
    /// Counts a failed run, once.
    pub fn record_failure(&mut self, number: RunNumber) {
        if !self.failed.contains(&number) {
            self.failed.push(number);
        }
    }

    /// Returns how many runs failed.
    pub fn failures(&self) -> u32 {
        self.failed.len() as u32
    }

    /// Takes the number of the next run.
    pub fn next_number(&mut self, floor: RunNumber) -> RunNumber {
        let failed = self.failed.iter().max().copied().unwrap_or_default();
        self.last = self.last.max(floor).max(failed).next();
        self.last
    }
}
