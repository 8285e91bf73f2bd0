use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};

use crate::server::Limits;
use crate::server::client_stream::ClientStream;
use crate::server::connection::Connection;
use crate::server::connection_service::ConnectionService;
use crate::server::connection_table::ConnectionTable;
use crate::server::limits::MAX_HEAD;
use crate::shutdown::Signal;

/// Delay after a failed accept, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accept loop and open connections of a server.
pub(super) struct Connections {
    router: Router,
    limits: Limits,
    table: Arc<ConnectionTable>,
    graceful: GracefulShutdown,
}

impl Connections {
    pub(super) fn new(router: Router, limits: Limits, table: ConnectionTable) -> Self {
        Self {
            router,
            limits,
            table: Arc::new(table),
            graceful: GracefulShutdown::new(),
        }
    }

    /// Accepts connections until `stop` is set, then waits for all requests in flight.
    pub(super) async fn run(self, listener: TcpListener, mut stop: Signal) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        self.spawn_connection(stream);
                        // Lets other threads take the connection: the allocator keeps memory for each thread, and one that
                        // served a whole crowd would keep that of all its connections.
                        tokio::task::yield_now().await;
                    }
                    Err(e) => {
                        tracing::warn!("process: accepting a connection failed, retrying in {ACCEPT_RETRY_DELAY:?}: {e}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = stop.wait() => break,
            }
        }
        drop(listener);
        self.graceful.shutdown().await;
    }

    fn spawn_connection(&self, stream: TcpStream) {
        // Responses are small and written at once, so Nagle's algorithm only adds latency.
        let _ = stream.set_nodelay(true);
        let read_timeout = self.limits.read_timeout.to_duration();
        let (connection, closed) = Connection::open(self.table.clone());
        let service = ConnectionService::new(self.router.clone(), connection.clone());
        let stream = ClientStream::new(stream, connection);
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(read_timeout)
            .max_buf_size(MAX_HEAD.get() as usize)
            .serve_connection(TokioIo::new(stream), service);
        let served = self.graceful.watch(served);
        tokio::spawn(async move {
            // Dropping the connection closes it.
            tokio::select! {
                outcome = served => if let Err(e) = outcome {
                    tracing::debug!("process: connection closed with an error: {e}");
                },
                Ok(reason) = closed => tracing::debug!("process: connection closed: {reason}"),
            }
        });
    }
}
