use std::fmt;

/// Why the server closed a connection that its client kept open.
#[derive(Debug, Clone, Copy)]
pub(super) enum CloseReason {
    /// Another request needed its memory.
    RequestMemory,
    /// The client sent empty lines instead of a request.
    EmptyLines,
}

impl CloseReason {
    /// Number of reasons.
    pub(super) const COUNT: usize = 2;
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RequestMemory => "another request needed the memory of an incomplete one",
            Self::EmptyLines => "empty lines were sent instead of a request",
        })
    }
}
