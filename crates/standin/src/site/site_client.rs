use std::net::SocketAddr;

use axum::http::Method;
use lagoon_core::unit::Millis;
use lagoon_platform::{Call, ClientSettings, Endpoint, Transport};
use serde_json::Value;

/// Host name in the routes of the fake platform's configuration.
const HOST: &str = "cell.example";

/// HTTP client that submits requests to nodes, over connections that are kept open.
#[derive(Debug, Clone)]
pub struct SiteClient {
    transport: Transport,
}

impl Default for SiteClient {
    fn default() -> Self {
        Self {
            transport: Transport::new(ClientSettings::default()),
        }
    }
}

impl SiteClient {
    /// Creates a client that waits up to `timeout` for a response.
    pub fn with_timeout(timeout: Millis) -> Self {
        let settings = ClientSettings {
            request_timeout: timeout,
            ..ClientSettings::default()
        };
        Self {
            transport: Transport::new(settings),
        }
    }

    /// Sends a request to a node and returns the status and body, or 0 and null without a response.
    pub async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let endpoint = Endpoint::from(node);
        let mut call = Call::new(method, &endpoint, path).header("host", HOST.to_owned());
        if let Some(body) = body {
            call = call.json(body);
        }
        match self.transport.send(call).await {
            Ok(response) => (response.status, response.json().unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// Returns the state of a job that a node reports, or the HTTP status if it isn't 200.
    pub async fn state(&self, node: SocketAddr, path: &str) -> String {
        match self.call(node, Method::GET, path, None).await {
            (200, body) => body["state"].as_str().unwrap_or_default().to_owned(),
            (status, _) => status.to_string(),
        }
    }
}
