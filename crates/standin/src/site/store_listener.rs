use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::IntoResponse;

use crate::site::listener::Listener;

/// An additional address of the store, for tests that cut off some nodes from the store.
#[derive(Debug)]
pub struct StoreListener {
    listener: Listener,
    closed: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
}

impl StoreListener {
    pub(super) async fn open(router: Router) -> std::io::Result<Self> {
        let closed = Arc::new(AtomicBool::new(false));
        let silent = Arc::new(AtomicBool::new(false));
        let flags = (closed.clone(), silent.clone());
        let check = move |req: Request, next: Next| {
            let (closed, silent) = flags.clone();
            async move {
                if closed.load(Ordering::Relaxed) {
                    return StatusCode::SERVICE_UNAVAILABLE.into_response();
                }
                let response = match silent.load(Ordering::Relaxed) {
                    true => std::future::pending().await,
                    false => next.run(req).await,
                };
                // Requests that were waiting get no response either.
                if silent.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
                response
            }
        };
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let listener = Listener::bind(any, router.layer(middleware::from_fn(check))).await?;
        Ok(Self {
            listener,
            closed,
            silent,
        })
    }

    /// Returns the address that the store is served at.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Sets whether requests to this address are refused with status 503.
    pub fn set_unavailable(&self, closed: bool) {
        self.closed.store(closed, Ordering::Relaxed);
    }

    /// Sets whether requests to this address have no effect and get no response.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }
}
