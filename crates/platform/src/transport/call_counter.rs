use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use lagoon_core::unit::Bytes;

/// Counters of calls and bytes, shared by all clones.
#[derive(Debug, Clone, Default)]
pub struct CallCounter(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    calls: AtomicU64,
    failures: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

impl CallCounter {
    /// Returns the number of started calls.
    pub fn calls(&self) -> u64 {
        self.0.calls.load(Relaxed)
    }

    /// Returns the number of calls without a complete response.
    pub fn failures(&self) -> u64 {
        self.0.failures.load(Relaxed)
    }

    /// Returns the total size of request URIs and bodies, without headers.
    pub fn sent(&self) -> Bytes {
        Bytes::new(self.0.sent.load(Relaxed))
    }

    /// Returns the total size of response bodies, without headers.
    pub fn received(&self) -> Bytes {
        Bytes::new(self.0.received.load(Relaxed))
    }

    pub(crate) fn record_request(&self, bytes: usize) {
        self.0.calls.fetch_add(1, Relaxed);
        self.0.sent.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn record_response(&self, bytes: usize) {
        self.0.received.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn record_failure(&self) {
        self.0.failures.fetch_add(1, Relaxed);
    }
}
