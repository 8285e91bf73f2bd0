use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use hyper::http::Extensions;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{CaptureConnection, HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use lagoon_core::unit::Millis;

use crate::error::{ErrorKind, PlatformError};
use crate::transport::established_at::EstablishedAt;
use crate::transport::not_admitted::NotAdmitted;
use crate::transport::timed_connector::TimedConnector;
use crate::transport::{Call, CallCounter, ClientSettings, PROCESS_HEADER, Response};

/// HTTP client with a connection pool, settings and counters, which clones share.
#[derive(Debug, Clone)]
pub struct Transport(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    client: Client<TimedConnector, Full<Bytes>>,
    settings: ClientSettings,
    counter: CallCounter,
}

impl Transport {
    /// Returns a transport without open connections; calls open them when needed.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout.to_duration()));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(settings.idle_connections)
            .build(TimedConnector::new(
                connector,
                settings.gate.clone(),
                settings.request_timeout.to_duration(),
            ));
        let counter = CallCounter::default();
        Self(Arc::new(Inner {
            client,
            settings,
            counter,
        }))
    }

    /// Returns the counters of all calls over this transport.
    pub fn counter(&self) -> &CallCounter {
        &self.0.counter
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ClientSettings {
        &self.0.settings
    }

    /// Sends `call` and reads the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// If no complete response arrives within the request timeout, or its body is too large.
    pub async fn send(&self, call: Call) -> Result<Response, PlatformError> {
        let Inner {
            settings, counter, ..
        } = &*self.0;
        counter.record_request(call.uri.len() + call.body.len());
        let limit = settings.request_timeout.saturating_add(call.extra_timeout);
        let name = call.describe();
        let (result, connection_age) = match self.request(call) {
            Ok(mut req) => {
                let connection = capture_connection(&mut req);
                let result = tokio::time::timeout(limit.to_duration(), self.exchange(req)).await;
                let connection_age = age(&connection);
                // A call is sent only once it has a connection.
                let sent = connection_age.is_some();
                let result = result.unwrap_or(Err(ErrorKind::Timeout { sent }));
                (result, connection_age)
            }
            Err(kind) => (Err(kind), None),
        };
        match result {
            Ok((status, body)) => {
                counter.record_response(body.len());
                let call = name;
                Ok(Response { call, status, body })
            }
            Err(kind) => {
                counter.record_failure();
                Err(PlatformError::new(name, kind).on_connection(connection_age))
            }
        }
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, ErrorKind> {
        let settings = &self.0.settings;
        let mut req = Request::builder().method(call.method).uri(call.uri);
        if let Some(process) = &settings.process {
            req = req.header(PROCESS_HEADER, process.as_str());
        }
        for (name, value) in &call.headers {
            req = req.header(*name, value);
        }
        if !call.body.is_empty() {
            req = req.header(CONTENT_TYPE, "application/json");
        }
        req.body(Full::new(call.body))
            .map_err(|e| ErrorKind::Unreachable(e.to_string()))
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(u16, Bytes), ErrorKind> {
        let Inner {
            client, settings, ..
        } = &*self.0;
        let response = client
            .request(req)
            .await
            .map_err(|e| match e.is_connect() {
                true if NotAdmitted::caused(&e) => ErrorKind::NotAdmitted,
                true => ErrorKind::Unreachable(error_chain(&e)),
                false => ErrorKind::ConnectionLost(error_chain(&e)),
            })?;
        let status = response.status().as_u16();
        let limit = usize::try_from(settings.max_response.get()).unwrap_or(usize::MAX);
        let body = Limited::new(response.into_body(), limit).collect().await;
        let body = body.map_err(|e| match e.is::<LengthLimitError>() {
            true => ErrorKind::InvalidResponse(format!("body exceeds {}", settings.max_response)),
            false => ErrorKind::ConnectionLost(e.to_string()),
        })?;
        Ok((status, body.to_bytes()))
    }
}

/// Returns the age of the connection that a request was sent on.
fn age(connection: &CaptureConnection) -> Option<Millis> {
    let mut extras = Extensions::new();
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.get_extras(&mut extras);
    }
    let EstablishedAt(at) = extras.get()?;
    Some(Millis::new(at.elapsed().as_millis() as u64))
}

fn error_chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", error_chain(source)),
        None => error.to_string(),
    }
}
