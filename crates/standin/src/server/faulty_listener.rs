use std::io;
use std::net::SocketAddr;

use axum::serve::Listener;
use tokio::net::TcpListener;

use crate::server::FaultyStream;

/// A TCP listener that wraps each connection in a [`FaultyStream`].
#[derive(Debug)]
pub(crate) struct FaultyListener(pub(crate) TcpListener);

impl Listener for FaultyListener {
    type Io = FaultyStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        let (stream, address) = Listener::accept(&mut self.0).await;
        // On failure Nagle's algorithm stays enabled, which only delays responses.
        let _ = stream.set_nodelay(true);
        (FaultyStream::new(stream), address)
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.0.local_addr()
    }
}
