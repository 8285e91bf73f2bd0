use lagoon_core::unit::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

/// Times at which the steps of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Time of the first occurrence.
    pub first: Timestamp,
    /// Time from one occurrence to the next.
    pub interval: Millis,
    /// Number of occurrences.
    pub occurrences: u32,
}

impl Schedule {
    /// Returns when an occurrence is due. Occurrences are counted from 0.
    pub fn due(&self, occurrence: u32) -> Timestamp {
        let wait = self.interval.get().saturating_mul(u64::from(occurrence));
        self.first.after(Millis::new(wait))
    }
}
