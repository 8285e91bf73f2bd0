/// Whether a failed call may have changed state at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEffect {
    /// The call had no effect.
    None,
    /// The call may have had its full effect.
    Unknown,
}
