use crate::scenario::Size;

/// How scenarios are run.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of all random sources.
    pub seed: u64,
    /// Size of the fleets.
    pub size: Size,
}
