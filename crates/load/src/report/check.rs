use serde::Serialize;

/// A target of the design page next to what was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Check {
    /// Target.
    pub target: String,
    /// What was measured.
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
