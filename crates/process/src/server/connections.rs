use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};

use crate::server::Limits;
use crate::server::client_stream::ClientStream;
use crate::server::close_log::CloseLog;
use crate::server::limits::MAX_HEAD;
use crate::shutdown::Signal;

/// Delay after a failed accept, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accept loop and open connections of a server.
pub(super) struct Connections {
    router: Router,
    limits: Limits,
    log: Arc<CloseLog>,
    graceful: GracefulShutdown,
}

impl Connections {
    pub(super) fn new(router: Router, limits: Limits, log: CloseLog) -> Self {
        Self {
            router,
            limits,
            log: Arc::new(log),
            graceful: GracefulShutdown::new(),
        }
    }

    /// Accepts connections until `stop` is set, then waits for all requests in flight.
    pub(super) async fn run(self, listener: TcpListener, mut stop: Signal) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn_connection(stream),
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
        let stream = ClientStream::new(stream, self.log.clone());
        let service = TowerToHyperService::new(self.router.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read_timeout.to_duration())
            .max_buf_size(MAX_HEAD.get() as usize)
            .serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!("process: connection closed with an error: {e}");
            }
        });
    }
}
