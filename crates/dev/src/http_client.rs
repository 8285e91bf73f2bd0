use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// JSON client for gateways and the admin process.
#[derive(Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request and returns the status and the body of the response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        header: Option<(&str, &str)>,
        body: Option<&Value>,
    ) -> Result<(u16, Value), BoxError> {
        let mut req = Request::builder()
            .method(method.clone())
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        if let Some((name, value)) = header {
            req = req.header(name, value);
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let answer = self.client.request(req.body(Full::from(body))?).await?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await?.to_bytes();
        let value = match body.is_empty() {
            true => Value::Null,
            false => serde_json::from_slice(&body)?,
        };
        Ok((status, value))
    }
}
