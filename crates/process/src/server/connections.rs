use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::server::Limits;
use crate::server::client_stream::ClientStream;
use crate::server::close_reason::CloseReason;
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
    /// One permit for each further connection, held until its descriptor is closed.
    slots: Arc<Semaphore>,
    graceful: GracefulShutdown,
}

impl Connections {
    pub(super) fn new(router: Router, limits: Limits, table: ConnectionTable) -> Self {
        let slots = usize::try_from(limits.max_connections).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            router,
            limits,
            table: Arc::new(table),
            slots: Arc::new(Semaphore::new(slots)),
            graceful: GracefulShutdown::new(),
        }
    }

    /// Accepts connections until `stop` is set, then waits for all requests in flight.
    pub(super) async fn run(self, listener: TcpListener, mut stop: Signal) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        self.admit(stream).await;
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

    /// Serves a new connection, for which another one is closed if the limit is reached. New callers must get in while
    /// a crowd holds all connections.
    async fn admit(&self, stream: TcpStream) {
        let slot = match self.slots.clone().try_acquire_owned() {
            Ok(slot) => slot,
            Err(_) if self.table.make_room() => {
                let freed = self.slots.clone().acquire_owned();
                freed.await.expect("the semaphore is never closed")
            }
            Err(_) => {
                self.table.log().record(CloseReason::AllBusy);
                return;
            }
        };
        self.spawn_connection(stream, slot);
    }

    fn spawn_connection(&self, stream: TcpStream, slot: OwnedSemaphorePermit) {
        // Responses are small and written at once, so Nagle's algorithm only adds latency.
        let _ = stream.set_nodelay(true);
        let read_timeout = self.limits.read_timeout.to_duration();
        let (connection, closed) = Connection::open(self.table.clone());
        let service = ConnectionService::new(self.router.clone(), connection.clone());
        let stream = ClientStream::new(stream, connection, read_timeout);
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
            drop(slot);
        });
    }
}
