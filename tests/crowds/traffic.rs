use bytes::Bytes;

/// What one client of a crowd sends on a connection.
#[derive(Debug, Clone)]
pub(crate) struct Traffic {
    /// Bytes that every client sends.
    pub(crate) bytes: Bytes,
    /// Bytes that complete the request, which few clients send; `None` if all clients send the same.
    pub(crate) end: Option<Bytes>,
    /// Largest number of bytes per write.
    pub(crate) piece: usize,
}

impl Traffic {
    /// Returns traffic that all clients send alike.
    pub(crate) fn endless(bytes: Bytes) -> Self {
        let piece = bytes.len().max(1);
        Self {
            bytes,
            end: None,
            piece,
        }
    }

    /// Returns a request that `end` completes.
    pub(crate) fn with_end(bytes: Bytes, end: Bytes) -> Self {
        Self {
            end: Some(end),
            ..Self::endless(bytes)
        }
    }

    /// Splits the traffic into writes of `piece` bytes.
    pub(crate) fn in_pieces(self, piece: usize) -> Self {
        Self { piece, ..self }
    }
}
