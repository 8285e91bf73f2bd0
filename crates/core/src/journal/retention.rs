use crate::unit::Millis;

/// Retention limits for ended work and operator commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// How long ended work is retained.
    pub ended_for: Millis,
    /// Maximum number of ended work items.
    pub ended: usize,
    /// Maximum number of commands in the audit trail.
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
