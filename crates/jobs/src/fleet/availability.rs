/// Whether an executor accepts new runs, as told by the registry and by the process that answers at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new runs.
    Ready,
    /// Is about to leave and accepts no new runs.
    Draining,
    /// Has no registry entry, or another executor has its address. It may have left, or may only have lost its
    /// connection to the registry.
    Unlisted,
}
