use std::net::SocketAddr;

use axum::http::Method;
use lagoon_platform::{Call, ClientSettings, Endpoint, Transport};
use serde_json::Value;

/// Host that the routes of the stand-in's configuration name.
const HOST: &str = "cell.example";

/// Calls nodes as callers of the platform do, over connections that stay open until their node is gone.
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
    /// Calls a node; returns the status and the body, 0 and null for no answer.
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
            Ok(answer) => (answer.status, answer.json().unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// Returns the state of a job as a node shows it; the status if it shows none.
    pub async fn state(&self, node: SocketAddr, path: &str) -> String {
        match self.call(node, Method::GET, path, None).await {
            (200, body) => body["state"].as_str().unwrap_or_default().to_owned(),
            (status, _) => status.to_string(),
        }
    }
}
