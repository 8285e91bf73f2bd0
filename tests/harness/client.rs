use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::harness::{BoxError, Response};

/// Above the longest request timeout of a gateway.
const TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client for JSON APIs.
#[derive(Debug, Clone)]
pub(crate) struct Client(HyperClient<HttpConnector, Full<Bytes>>);

impl Client {
    pub(crate) fn new() -> Self {
        Self(HyperClient::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request; fails if no complete response arrives in time.
    pub(crate) async fn send(
        &self,
        address: &impl Display,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Response, BoxError> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let req = req.body(Full::from(body))?;
        let exchange = async {
            let response = self.0.request(req).await?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await?.to_bytes();
            let body = match body.is_empty() {
                true => Value::Null,
                false => serde_json::from_slice(&body)?,
            };
            Ok(Response { status, body })
        };
        tokio::time::timeout(TIMEOUT, exchange).await?
    }

    /// Returns the body of a GET request, or `None` unless the response has status 200.
    pub(crate) async fn read(&self, address: &impl Display, path: &str) -> Option<Value> {
        let response = self.send(address, Method::GET, path, None, None).await;
        response
            .ok()
            .filter(|response| response.status == 200)
            .map(|response| response.body)
    }
}
