use std::future::IntoFuture;
use std::io;
use std::net::SocketAddr;

use axum::extract::{DefaultBodyLimit, State};
use axum::middleware::from_fn_with_state;
use axum::routing::post;
use axum::{Json, Router};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::fault::{FaultRequest, FaultTarget, Faults};
use crate::server::{Connection, FaultLayer, FaultyListener};

/// Maximum size of a request body. Holds a value of the store's maximum size with JSON escapes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A running server of a fake. Dropping the handle stops it as well.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    address: SocketAddr,
    faults: Faults,
    stop: watch::Sender<bool>,
    task: JoinHandle<io::Result<()>>,
}

impl ServerHandle {
    pub(crate) async fn bind(
        address: SocketAddr,
        app: Router,
        target_of: fn(&str) -> Option<FaultTarget>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let faults = Faults::default();
        let (stop, stopped) = watch::channel(false);
        let layer = FaultLayer {
            faults: faults.clone(),
            stopped: stopped.clone(),
            target_of,
        };
        let app = app
            .route("/faults", post(set_faults).with_state(faults.clone()))
            .layer(from_fn_with_state(layer, FaultLayer::call))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .into_make_service_with_connect_info::<Connection>();
        let mut signal = stopped;
        let server = axum::serve(FaultyListener(listener), app);
        let server = server.with_graceful_shutdown(async move {
            // An error means that the handle was dropped, which also stops the server.
            let _ = signal.wait_for(|stopped| *stopped).await;
        });
        let task = tokio::spawn(server.into_future());
        Ok(Self {
            address,
            faults,
            stop,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Stops the server and closes all connections without waiting for pending responses.
    pub(crate) async fn stop(self) {
        self.stop.send_replace(true);
        if let Err(e) = self.task.await {
            tracing::error!("standin: server task did not stop cleanly: {e}");
        }
    }
}

async fn set_faults(State(faults): State<Faults>, Json(req): Json<FaultRequest>) {
    tracing::info!("standin: applying fault request {req:?}");
    faults.apply(req);
}
