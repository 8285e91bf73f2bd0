use std::fmt;
use std::pin::Pin;

use crate::server::reserved_memory::ReservedMemory;

/// Memory for the read buffer of a connection.
pub(super) enum BufferMemory {
    /// The buffer is small enough.
    Unreserved,
    /// The buffer has grown; no more is read until its memory is reserved.
    Pending(Pin<Box<dyn Future<Output = Option<ReservedMemory>> + Send>>),
    /// The buffer is as large as it can be.
    Reserved { _memory: ReservedMemory },
}

impl fmt::Debug for BufferMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreserved => "Unreserved",
            Self::Pending(_) => "Pending",
            Self::Reserved { .. } => "Reserved",
        })
    }
}
