use std::fmt;

/// Why the server closed a connection that its client kept open.
#[derive(Debug, Clone, Copy)]
pub(super) enum CloseReason {
    /// Another client connected while the maximum number of connections was open.
    ConnectionLimit,
    /// All open connections were processing requests, so that none could give way to the new one.
    AllBusy,
    /// Another request needed its memory.
    RequestMemory,
    /// The client sent empty lines instead of a request.
    EmptyLines,
    /// The client did not read its response.
    UnreadResponse,
}

impl CloseReason {
    /// Number of reasons.
    pub(super) const COUNT: usize = 5;
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionLimit => "the limit of open connections was reached",
            Self::AllBusy => "all connections were processing requests",
            Self::RequestMemory => "another request needed the memory of an incomplete one",
            Self::EmptyLines => "empty lines were sent instead of a request",
            Self::UnreadResponse => "the response was not read",
        })
    }
}
