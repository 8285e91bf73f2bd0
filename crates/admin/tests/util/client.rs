use std::net::SocketAddr;

use axum::body::Body;
use http_body_util::BodyExt;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// HTTP client for operators; the token of operator NAME is `token-of-NAME-0123`.
#[derive(Debug, Clone)]
pub(crate) struct Client(hyper_util::client::legacy::Client<HttpConnector, Body>);

impl Client {
    pub(crate) fn new() -> Self {
        let builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        Self(builder.build_http())
    }

    /// Sends a request and returns the status and body of the response.
    pub(crate) async fn post(
        &self,
        admin: SocketAddr,
        operator: &str,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let req = hyper::Request::builder()
            .method("POST")
            .uri(format!("http://{admin}{path}"))
            .header("authorization", format!("Bearer token-of-{operator}-0123"))
            .body(Body::from(body.to_string()))
            .unwrap();
        let answer = self.0.request(req).await.unwrap();
        let status = answer.status().as_u16();
        let bytes = answer.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&bytes).unwrap())
    }
}
