use std::sync::Arc;

use bytes::BytesMut;

use crate::server::body_pools::BodyPools;

/// Body in one piece, whose buffer is put back when the handler drops it.
#[derive(Debug)]
pub(super) struct WholeBody {
    buf: BytesMut,
    pools: Arc<BodyPools>,
}

impl WholeBody {
    /// Creates an empty body.
    pub(super) fn new(pools: Arc<BodyPools>) -> Self {
        let buf = pools.whole.take();
        Self { buf, pools }
    }

    /// Appends data, in all no more than the largest body.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for WholeBody {
    fn drop(&mut self) {
        self.pools.whole.put(std::mem::take(&mut self.buf));
    }
}
