use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::extract::connect_info::Connected;
use axum::serve::IncomingStream;

use crate::server::FaultyListener;

/// Closed flag of one connection. Once set, every write to the connection fails.
#[derive(Debug, Clone, Default)]
pub(crate) struct Connection(Arc<AtomicBool>);

impl Connection {
    pub(crate) fn close(&self) {
        self.0.store(true, Ordering::Release);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Connected<IncomingStream<'_, FaultyListener>> for Connection {
    fn connect_info(stream: IncomingStream<'_, FaultyListener>) -> Self {
        stream.io().connection()
    }
}
