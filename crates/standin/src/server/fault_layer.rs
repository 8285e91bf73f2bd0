use axum::extract::{ConnectInfo, Request, State};
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use lagoon_platform::PROCESS_HEADER;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::fault::{FaultMode, FaultTarget, Faults};
use crate::server::Connection;

/// Applies the faults of a server to each call.
#[derive(Debug, Clone)]
pub(crate) struct FaultLayer {
    pub(crate) faults: Faults,
    pub(crate) stopped: watch::Receiver<bool>,
    /// Maps a path to the fake that it addresses; `None` for paths that control the fake.
    pub(crate) target_of: fn(&str) -> Option<FaultTarget>,
}

impl FaultLayer {
    /// Handles a call in a task of its own, so that it takes effect even if its caller gave up waiting.
    pub(crate) async fn call(
        State(mut layer): State<Self>,
        ConnectInfo(connection): ConnectInfo<Connection>,
        req: Request,
        next: Next,
    ) -> Response {
        let mut stopped = layer.stopped.clone();
        let handled = tokio::spawn(async move {
            tokio::select! {
                answer = layer.act(&connection, req, next) => answer,
                _ = stopped.wait_for(|stopped| *stopped) => {
                    connection.close();
                    StatusCode::SERVICE_UNAVAILABLE.into_response()
                }
            }
        });
        let failed = |_| StatusCode::INTERNAL_SERVER_ERROR.into_response();
        handled.await.unwrap_or_else(failed)
    }

    async fn act(&mut self, connection: &Connection, req: Request, next: Next) -> Response {
        let Some(target) = (self.target_of)(req.uri().path()) else {
            return next.run(req).await;
        };
        let header = req.headers().get(PROCESS_HEADER);
        let process = header.and_then(|value| value.to_str().ok().map(str::to_owned));
        let process = process.as_deref();
        let mut drop_answer = false;
        for mode in self.faults.take(&target, process) {
            match mode {
                FaultMode::DropAnswer => drop_answer = true,
                FaultMode::Delay(delay) => sleep(delay.to_duration()).await,
                FaultMode::Refuse => {
                    return StatusCode::SERVICE_UNAVAILABLE.into_response();
                }
                FaultMode::Freeze => self.wait_until_lifted(&target, process).await,
                FaultMode::Unreachable => {
                    connection.close();
                    return StatusCode::SERVICE_UNAVAILABLE.into_response();
                }
            }
        }
        let answer = next.run(req).await;
        if drop_answer {
            connection.close();
        }
        answer
    }

    async fn wait_until_lifted(&self, target: &FaultTarget, process: Option<&str>) {
        let mut seen = self.faults.subscribe();
        while self.faults.is_frozen(target, process) {
            self.faults.lifted(&mut seen).await;
        }
    }
}
