use axum::extract::{ConnectInfo, Request, State};
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use lagoon_platform::PROCESS_HEADER;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::fault::{FaultMode, FaultTarget, Faults};
use crate::server::Connection;

/// Middleware that applies the fault rules of a server to each request.
#[derive(Debug, Clone)]
pub(crate) struct FaultLayer {
    pub(crate) faults: Faults,
    pub(crate) stopped: watch::Receiver<bool>,
    /// Returns the fake that a path addresses; `None` for control paths, which faults don't apply to.
    pub(crate) target_of: fn(&str) -> Option<FaultTarget>,
}

impl FaultLayer {
    /// Handles a request in a separate task, so that it takes effect even if the caller has disconnected.
    pub(crate) async fn call(
        State(mut layer): State<Self>,
        ConnectInfo(connection): ConnectInfo<Connection>,
        req: Request,
        next: Next,
    ) -> Response {
        let mut stopped = layer.stopped.clone();
        let handler = tokio::spawn(async move {
            tokio::select! {
                response = layer.handle(&connection, req, next) => response,
                _ = stopped.wait_for(|stopped| *stopped) => {
                    connection.close();
                    StatusCode::SERVICE_UNAVAILABLE.into_response()
                }
            }
        });
        let on_panic = |_| StatusCode::INTERNAL_SERVER_ERROR.into_response();
        handler.await.unwrap_or_else(on_panic)
    }

    async fn handle(&mut self, connection: &Connection, req: Request, next: Next) -> Response {
        let Some(target) = (self.target_of)(req.uri().path()) else {
            return next.run(req).await;
        };
        let header = req.headers().get(PROCESS_HEADER);
        let process = header.and_then(|value| value.to_str().ok().map(str::to_owned));
        let process = process.as_deref();
        let mut drop_response = false;
        for mode in self.faults.take_modes(&target, process) {
            match mode {
                FaultMode::DropAnswer => drop_response = true,
                FaultMode::Delay(delay) => sleep(delay.to_duration()).await,
                FaultMode::Refuse => {
                    return StatusCode::SERVICE_UNAVAILABLE.into_response();
                }
                FaultMode::Freeze => self.wait_until_unfrozen(&target, process).await,
                FaultMode::Unreachable => {
                    connection.close();
                    return StatusCode::SERVICE_UNAVAILABLE.into_response();
                }
            }
        }
        let response = next.run(req).await;
        if drop_response {
            connection.close();
        }
        response
    }

    async fn wait_until_unfrozen(&self, target: &FaultTarget, process: Option<&str>) {
        let mut seen = self.faults.subscribe();
        while self.faults.is_frozen(target, process) {
            self.faults.wait_for_clear(&mut seen).await;
        }
    }
}
