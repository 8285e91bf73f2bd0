use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoon_core::id::RequestKey;
use lagoon_core::unit::Millis;
use lagoon_process::answer::ErrorBody;
use serde_json::Value;
use tokio::time::timeout;

use crate::args::CtlArgs;
use crate::command_error::CommandError;

/// HTTP client of a gateway or of the operators' endpoint of a node.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    token: Option<String>,
    response_timeout: Millis,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client for the gateway named in `args`, or else `gateway`. Connects on the first call.
    pub(crate) fn from_args(args: &CtlArgs, gateway: Option<&str>) -> Result<Self, CommandError> {
        let text = args.gateway.as_deref().or(gateway);
        let missing =
            || CommandError::Usage("--gateway IP:PORT or LAGOON_GATEWAY is missing".into());
        Self::with_address(args, text.ok_or_else(missing)?)
    }

    /// Creates a client for `address`. Connects on the first call.
    pub(crate) fn with_address(args: &CtlArgs, address: &str) -> Result<Self, CommandError> {
        let invalid = |_| {
            let expected = "expected an IP address and port such as 127.0.0.1:7000";
            CommandError::Usage(format!("invalid address {address:?}: {expected}"))
        };
        let token = args.token_file.as_ref().map(|path| {
            let unread = |e| CommandError::Usage(format!("{}: can't be read: {e}", path.display()));
            let text = std::fs::read_to_string(path).map_err(unread)?;
            Ok(text.trim().to_owned())
        });
        Ok(Self {
            address: address.parse().map_err(invalid)?,
            token: token.transpose()?,
            response_timeout: args.timeout,
            http: legacy::Client::builder(TokioExecutor::new())
                // An automatic retry would hide that a response was lost.
                .retry_canceled_requests(false)
                .build_http(),
        })
    }

    /// Sends a request and returns the body of the response.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        key: Option<&RequestKey>,
        body: Option<&Value>,
    ) -> Result<Value, CommandError> {
        let url = format!("http://{}{path}", self.address);
        let mut req = Request::builder().method(method).uri(url);
        if let Some(token) = &self.token {
            req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(key) = key {
            req = req.header("Idempotency-Key", key.as_str());
        }
        if body.is_some() {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        let body = body.map(Value::to_string).unwrap_or_default();
        let invalid = |e: hyper::http::Error| CommandError::Usage(e.to_string());
        let req = req.body(Full::new(Bytes::from(body))).map_err(invalid)?;
        let timed_out =
            |_| CommandError::ResponseLost(format!("no response within {}", self.response_timeout));
        let response_timeout: Duration = self.response_timeout.to_duration();
        timeout(response_timeout, self.send(req))
            .await
            .map_err(timed_out)?
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<Value, CommandError> {
        let lost = |e: &dyn Error| CommandError::ResponseLost(with_causes(e));
        let answer = self
            .http
            .request(req)
            .await
            .map_err(|e| match e.is_connect() {
                true => CommandError::NotSent(with_causes(&e)),
                false => lost(&e),
            })?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|e| lost(&e))?;
        let body = body.to_bytes();
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|e| lost(&e));
        }
        let error: ErrorBody = serde_json::from_slice(&body).map_err(|_| {
            CommandError::ResponseLost(format!(
                "the gateway responded with {status} but no result code"
            ))
        })?;
        Err(CommandError::Refused(error))
    }
}

fn with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}
