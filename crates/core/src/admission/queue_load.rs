use crate::unit::Bytes;
use crate::work::WorkKind;

/// Items and bytes in the queue for each kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueLoad {
    items: [u64; 3],
    bytes: [Bytes; 3],
}

impl QueueLoad {
    /// Returns the load with the items and bytes of one kind replaced.
    pub fn with(mut self, kind: WorkKind, items: u64, bytes: Bytes) -> Self {
        self.items[kind as usize] = items;
        self.bytes[kind as usize] = bytes;
        self
    }

    /// Returns the number of queued items of a kind.
    pub fn items(&self, kind: WorkKind) -> u64 {
        self.items[kind as usize]
    }

    /// Returns the size of the queued items of a kind.
    pub fn bytes(&self, kind: WorkKind) -> Bytes {
        self.bytes[kind as usize]
    }
}
