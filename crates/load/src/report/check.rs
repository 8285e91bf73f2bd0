use serde::Serialize;

/// A target of the design and the measured result.
#[derive(Debug, Clone, Serialize)]
pub struct Check {
    /// Description of the target.
    pub target: String,
    /// Measured result.
    pub measured: String,
    /// Whether the target is met.
    pub met: bool,
}

impl Check {
    pub(crate) fn new(target: impl Into<String>, measured: impl Into<String>, met: bool) -> Self {
        Self {
            target: target.into(),
            measured: measured.into(),
            met,
        }
    }
}
