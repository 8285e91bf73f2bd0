//! HTTP server whose life cycle is encoded in its type: `Server<Bound>`, `Server<Serving>`, `Server<Draining>`. Only a
//! bound server can start to serve, and a draining one can't serve again; stopping consumes it.
//!
//! What clients can make a server hold is bounded by its [`Limits`]. A table of all connections, in shards under their own
//! locks, tells for which clients the server waits and what memory their requests hold. An exchange, `Receiving` and then
//! `Processing`, lasts from the head of a request to the end of its response; only a connection whose request is not
//! complete, or whose client does not read, is closed to make room for another.

mod body;
mod body_buffer;
mod body_pools;
mod buffer_memory;
mod buffer_pool;
mod client_stream;
mod close_log;
mod close_reason;
mod connection;
mod connection_entry;
mod connection_id;
mod connection_service;
mod connection_shard;
mod connection_table;
mod connections;
mod exchange;
mod guarded_body;
mod limits;
mod reserved_memory;
mod small_chunk_pacer;
mod standing;
mod state;
mod whole_body;

use std::io;
use std::net::SocketAddr;

use axum::Router;
use lagoon_core::unit::Millis;
use tokio::net::{TcpListener, TcpSocket};

pub use self::{
    body::discard as discard_body,
    guarded_body::GuardedBody,
    limits::Limits,
    state::{Bound, Draining, Serving},
};
use self::{connection_table::ConnectionTable, connections::Connections};
use crate::settings::Address;
use crate::shutdown::Signal;
use crate::{Metrics, RunError};

/// Connections that may wait to be accepted. The kernel drops further ones, whose clients try again after a second.
const ACCEPT_QUEUE: u32 = 1_024;

/// HTTP server in state `S`.
#[derive(Debug)]
pub struct Server<S> {
    address: SocketAddr,
    state: S,
}

impl<S> Server<S> {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Server<Bound> {
    /// Binds the address. Connections queue in the listener's backlog until the server serves.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: Address, limits: Limits) -> Result<Self, RunError> {
        let failed = |e| RunError::new(format!("process: can't listen on {address}"), e);
        let listener = listen(address.get()).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let state = Bound {
            listener,
            limits,
            metrics: Metrics::default(),
        };
        Ok(Server { address, state })
    }

    /// Counts the connections of this server in `metrics`.
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.state.metrics = metrics;
        self
    }

    /// Starts serving. The whole body is read, within the limits, before `router` handles a request.
    pub fn serve(self, router: Router) -> Server<Serving> {
        self.serve_with_layers(router, |router| router)
    }

    /// Starts serving like [`Self::serve`]; the layers that `outer` adds handle a request before its body is read.
    pub fn serve_with_layers(
        self,
        router: Router,
        outer: impl FnOnce(Router) -> Router,
    ) -> Server<Serving> {
        let Bound {
            listener,
            limits,
            metrics,
        } = self.state;
        let limits = limits.within_descriptors();
        let (stop, stopped) = Signal::manual();
        let router = outer(body::with_body_limits(router, limits));
        let table = ConnectionTable::new(limits.request_memory, metrics);
        let connections = Connections::new(router, limits, table);
        let task = tokio::spawn(connections.run(listener, stopped));
        Server {
            address: self.address,
            state: Serving { stop, task },
        }
    }
}

/// Opens a listener like [`TcpListener::bind`], whose queue has room for 128 connections only.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

impl Server<Serving> {
    /// Closes the listener and idle connections; requests in flight continue.
    pub fn drain(self) -> Server<Draining> {
        let Serving { stop, task } = self.state;
        stop.fire();
        Server {
            address: self.address,
            state: Draining { task },
        }
    }
}

impl Server<Draining> {
    /// Waits up to `limit` for requests in flight and aborts the rest. Returns true if all of them finished.
    pub async fn stopped(mut self, limit: Millis) -> bool {
        let task = &mut self.state.task;
        let finished = tokio::time::timeout(limit.to_duration(), &mut *task).await;
        if finished.is_err() {
            task.abort();
            tracing::warn!("process: aborted requests that were still in flight after {limit}");
        }
        finished.is_ok()
    }
}
