/// Size of the fleets in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// For tests: few hosts and short runs.
    Small,
    /// As the scenario describes.
    Full,
}
