use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::harness::{Answer, BoxError};

/// Wait for an answer; above the longest request time of a gateway.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends JSON over HTTP.
#[derive(Debug, Clone)]
pub(crate) struct Client(HyperClient<HttpConnector, Full<Bytes>>);

impl Client {
    pub(crate) fn new() -> Self {
        Self(HyperClient::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request; an error means that no whole answer came.
    pub(crate) async fn send(
        &self,
        address: &impl Display,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Option<&Value>,
    ) -> Result<Answer, BoxError> {
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
            let answer = self.0.request(req).await?;
            let status = answer.status().as_u16();
            let body = answer.into_body().collect().await?.to_bytes();
            let body = match body.is_empty() {
                true => Value::Null,
                false => serde_json::from_slice(&body)?,
            };
            Ok(Answer { status, body })
        };
        tokio::time::timeout(TIMEOUT, exchange).await?
    }

    /// Reads a path; none if no answer with status 200 came.
    pub(crate) async fn read(&self, address: &impl Display, path: &str) -> Option<Value> {
        let answer = self.send(address, Method::GET, path, None, None).await;
        answer
            .ok()
            .filter(|answer| answer.status == 200)
            .map(|answer| answer.body)
    }
}
