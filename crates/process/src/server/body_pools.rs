use crate::server::Limits;
use crate::server::buffer_pool::BufferPool;

/// Size of a segment of a body.
const SEGMENT: usize = 16 << 10;

/// Buffers for the bodies of a server.
#[derive(Debug)]
pub(super) struct BodyPools {
    /// Parts of bodies that arrive.
    pub(super) segments: BufferPool,
    /// Whole bodies, for the handlers.
    pub(super) whole: BufferPool,
}

impl BodyPools {
    pub(super) fn new(limits: Limits) -> Self {
        let max_body = usize::try_from(limits.max_body.get()).unwrap_or(usize::MAX);
        Self {
            segments: BufferPool::new(SEGMENT),
            whole: BufferPool::new(max_body),
        }
    }
}
