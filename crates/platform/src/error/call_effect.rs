/// What a failed call may have changed at the callee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEffect {
    /// Certainly nothing.
    None,
    /// Possibly everything that was asked for.
    Unknown,
}
