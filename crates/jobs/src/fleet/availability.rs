/// What the list of executors says of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes new runs.
    Ready,
    /// It leaves soon and takes no new runs.
    Draining,
    /// It is not listed. It may have left, or only lost its connection to the list.
    Unlisted,
}
