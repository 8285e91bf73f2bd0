/// Whether an executor takes part, by the list of executors and by what answers at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes new runs.
    Ready,
    /// It leaves soon and takes no new runs.
    Draining,
    /// It is not listed, or another one has its address. It may have left, or only lost its connection to the list.
    Unlisted,
}
