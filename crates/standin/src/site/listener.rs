use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A server on a loopback address that stops when it is dropped.
#[derive(Debug)]
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Serves `router` at `address`. With port 0 the system assigns a port.
    pub(super) async fn bind(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            // The server runs until the task is aborted.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, task })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}
