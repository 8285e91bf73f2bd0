use std::sync::{Mutex, PoisonError};

use bytes::BytesMut;

/// Size of the memory that is allocated at once.
const SLAB: usize = 1 << 20;

/// Free buffers of one size, which are kept for the next bodies.
///
/// Bodies of a crowd that come and go would leave gaps between smaller allocations, which the allocator can't use for
/// other bodies. These buffers are allocated apart from them, and there are never more than the memory for requests
/// allows, because each is taken and put back under a reservation.
#[derive(Debug)]
pub(super) struct BufferPool {
    size: usize,
    free: Mutex<Vec<BytesMut>>,
}

impl BufferPool {
    /// Creates a pool of buffers of `size` bytes.
    pub(super) fn new(size: usize) -> Self {
        let free = Mutex::default();
        Self { size, free }
    }

    /// Returns the size of a buffer.
    pub(super) fn size(&self) -> usize {
        self.size
    }

    /// Returns an empty buffer.
    pub(super) fn take(&self) -> BytesMut {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(buf) = free.pop() {
            return buf;
        }
        let count = (SLAB / self.size).max(1);
        let mut slab = BytesMut::with_capacity(self.size * count);
        for _ in 1..count {
            free.push(slab.split_off(slab.capacity() - self.size));
        }
        slab
    }

    /// Puts a buffer back.
    pub(super) fn put(&self, mut buf: BytesMut) {
        buf.clear();
        self.free
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(buf);
    }
}
