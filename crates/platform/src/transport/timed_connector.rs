use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::time::Instant;
use tower_service::Service;

use crate::transport::not_admitted::NotAdmitted;
use crate::transport::timed_stream::TimedStream;
use crate::transport::{ConnectionGate, HeldBack};

type ConnectError = Box<dyn Error + Send + Sync>;

/// Opens connections that know when they were established and have passed a gate.
#[derive(Debug, Clone)]
pub(crate) struct TimedConnector {
    connector: HttpConnector,
    gate: Option<ConnectionGate>,
    /// Longest time for which a connection waits at the gate.
    gate_timeout: Duration,
}

impl TimedConnector {
    pub(crate) fn new(
        connector: HttpConnector,
        gate: Option<ConnectionGate>,
        gate_timeout: Duration,
    ) -> Self {
        Self {
            connector,
            gate,
            gate_timeout,
        }
    }
}

impl Service<Uri> for TimedConnector {
    type Response = TimedStream;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<TimedStream, ConnectError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.connector.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        let (gate, limit) = (self.gate.clone(), self.gate_timeout);
        let begun_at = Instant::now();
        Box::pin(async move {
            let stream = connecting.await?;
            let established_at = Instant::now();
            if let Some(gate) = gate {
                let connection = HeldBack {
                    address: stream.inner().peer_addr()?,
                    begun_at,
                    established_at,
                };
                let passed = tokio::time::timeout(limit, gate.pass(connection)).await;
                passed.unwrap_or(Err(NotAdmitted))?;
            }
            Ok(TimedStream::new(stream, established_at))
        })
    }
}
