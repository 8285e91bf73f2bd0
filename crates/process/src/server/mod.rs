//! HTTP server whose life cycle is in its type: `Server<Bound>`, `Server<Serving>`, `Server<Draining>`, and then it is
//! gone. A server that drains can't be told to serve again, and only a bound one can start.

mod body;
mod connections;
mod limits;
mod state;

use std::net::SocketAddr;

use axum::Router;
use lagoon_core::unit::Millis;
use tokio::net::TcpListener;

use self::connections::Connections;
pub use self::{
    body::discard as discard_body,
    limits::Limits,
    state::{Bound, Draining, Serving},
};
use crate::RunError;
use crate::settings::Address;
use crate::shutdown::Signal;

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
    /// Binds the address; connections wait until the server serves.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn bind(address: Address, limits: Limits) -> Result<Self, RunError> {
        let failed = |e| RunError::new(format!("process: can't listen on {address}"), e);
        let listener = TcpListener::bind(address.get()).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let state = Bound { listener, limits };
        Ok(Server { address, state })
    }

    /// Starts to answer. Each body is read whole, within the limits, before `router` sees the request.
    pub fn serve(self, router: Router) -> Server<Serving> {
        self.serve_with_layers(router, |router| router)
    }

    /// Starts to answer; the layers that `outer` adds see each request before its body is read.
    pub fn serve_with_layers(
        self,
        router: Router,
        outer: impl FnOnce(Router) -> Router,
    ) -> Server<Serving> {
        let Bound { listener, limits } = self.state;
        let (stop, stopped) = Signal::manual();
        let router = outer(body::with_body_limits(router, limits));
        let connections = Connections::new(router, limits);
        let task = tokio::spawn(connections.run(listener, stopped));
        Server {
            address: self.address,
            state: Serving { stop, task },
        }
    }
}

impl Server<Serving> {
    /// Closes the listener and idle connections; requests in flight go on.
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
    /// Waits for requests in flight, at most `limit`; returns whether all of them finished.
    pub async fn stopped(mut self, limit: Millis) -> bool {
        let task = &mut self.state.task;
        let finished = tokio::time::timeout(limit.to_duration(), &mut *task).await;
        if finished.is_err() {
            task.abort();
            tracing::warn!("process: requests were still in flight after {limit}");
        }
        finished.is_ok()
    }
}
