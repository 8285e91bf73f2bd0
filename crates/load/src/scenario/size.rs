/// Size of the fleets in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Few hosts and short runs, for tests.
    Small,
    /// The full size of the scenario.
    Full,
}
