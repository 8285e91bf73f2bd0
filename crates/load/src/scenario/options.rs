use crate::scenario::Size;

/// Options of a scenario run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of all random sources.
    pub seed: u64,
    /// Size of the fleets.
    pub size: Size,
}
