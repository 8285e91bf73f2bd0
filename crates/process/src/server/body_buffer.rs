use std::sync::Arc;

use axum::body::Bytes;
use bytes::BytesMut;
use lagoon_core::unit::Bytes as Size;
use smallvec::SmallVec;

use crate::server::body_pools::BodyPools;
use crate::server::limits::UNRESERVED;
use crate::server::whole_body::WholeBody;

/// Body that arrives. A small one takes no memory from others, a larger one is kept in segments of equal size.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    /// First part of a body that is small or of unknown size.
    first: Vec<u8>,
    /// Largest size of the first part.
    first_limit: u64,
    segments: SmallVec<[BytesMut; 2]>,
    pools: Arc<BodyPools>,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of `expected` bytes, if its size is known.
    pub(super) fn new(expected: Option<u64>, pools: Arc<BodyPools>) -> Self {
        let is_large = expected.is_some_and(|size| size > UNRESERVED.get());
        let first_limit = if is_large { 0 } else { UNRESERVED.get() };
        let capacity = expected.unwrap_or_default().min(first_limit);
        Self {
            first: Vec::with_capacity(capacity as usize),
            first_limit,
            segments: SmallVec::new(),
            pools,
        }
    }

    /// Returns the memory that must be reserved before the buffer takes `size` bytes.
    pub(super) fn reserved(&self, size: u64) -> Size {
        let in_segments = size.saturating_sub(self.first_limit);
        Size::new(in_segments.next_multiple_of(self.pools.segments.size() as u64))
    }

    /// Appends data, for which the memory must have been reserved.
    pub(super) fn push(&mut self, data: &[u8]) {
        let room = self.first_limit as usize - self.first.len();
        let (first, mut rest) = data.split_at(data.len().min(room));
        self.first.extend_from_slice(first);
        let size = self.pools.segments.size();
        while !rest.is_empty() {
            let is_full = |segment: &BytesMut| segment.len() == size;
            if self.segments.last().is_none_or(is_full) {
                self.segments.push(self.pools.segments.take());
            }
            let Some(segment) = self.segments.last_mut() else {
                return;
            };
            let (now, later) = rest.split_at(rest.len().min(size - segment.len()));
            segment.extend_from_slice(now);
            rest = later;
        }
    }

    /// Returns the whole body in one piece.
    pub(super) fn into_bytes(mut self) -> Bytes {
        if self.segments.is_empty() {
            return std::mem::take(&mut self.first).into();
        }
        let mut body = WholeBody::new(self.pools.clone());
        body.push(&self.first);
        for segment in &self.segments {
            body.push(segment);
        }
        Bytes::from_owner(body)
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        for segment in self.segments.drain(..) {
            self.pools.segments.put(segment);
        }
    }
}
