use std::fmt;

/// Id of a connection, unique within its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ConnectionId(u64);

impl ConnectionId {
    pub(super) fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the index of the shard, out of `shards`, that holds the connection.
    pub(super) fn shard(self, shards: usize) -> usize {
        self.0 as usize % shards
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
