use crate::unit::Millis;

/// How much the journal keeps about the past.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// How long an ended piece of work is kept.
    pub ended_for: Millis,
    /// Largest number of ended pieces of work.
    pub ended: usize,
    /// Largest number of commands in the audit trail.
    pub commands: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            ended_for: Millis::new(3_600_000),
            ended: 10_000,
            commands: 1_000,
        }
    }
}
