/// Whether a call whose fate is unknown may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// The owner recognizes the call, or it changes nothing.
    Safe,
    /// A second call might run the work a second time.
    Never,
}
