use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;

use crate::cluster::OPERATOR_TOKEN;
use crate::http_client::HttpClient;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Interval between polls of a job.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls after which a job counts as stuck: 20 s.
const MAX_POLLS: usize = 400;

/// Client that sends requests and prints each request with its response.
#[derive(Debug)]
pub(super) struct SessionClient {
    client: HttpClient,
    gateways: Vec<SocketAddr>,
    admin: SocketAddr,
}

impl SessionClient {
    pub(super) fn new(gateways: Vec<SocketAddr>, admin: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(),
            gateways,
            admin,
        }
    }

    /// Sends a request to a gateway and prints it with its response.
    pub(super) async fn send_request(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Option<Value>,
    ) -> Result<(u16, Value), BoxError> {
        let address = self.gateways[gateway];
        let header = key.map(|key| ("idempotency-key", key));
        let answer = self
            .client
            .send(address, &method, path, header, body.as_ref())
            .await?;
        let key = key
            .map(|key| format!(" (idempotency key {key})"))
            .unwrap_or_default();
        println!("> gateway {gateway}: {method} {path}{key}");
        if let Some(body) = body {
            println!(">   {body}");
        }
        println!("< {} {}\n", answer.0, answer.1);
        Ok(answer)
    }

    /// Sends a request to the admin process with the operator's token and prints it with its response.
    pub(super) async fn send_operator_request(
        &self,
        path: &str,
        body: Value,
    ) -> Result<Value, BoxError> {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let header = Some(("authorization", token.as_str()));
        let (status, answer) = self
            .client
            .send(self.admin, &Method::POST, path, header, Some(&body))
            .await?;
        println!("> admin: POST {path}\n>   {body}\n< {status} {answer}\n");
        if status != 200 {
            return Err(format!("POST {path} returned {status} {answer}, expected 200").into());
        }
        Ok(answer)
    }

    /// Polls a job until it has ended, and prints the last response.
    pub(super) async fn wait_for_end(&self, gateway: usize, work: &str) -> Result<Value, BoxError> {
        let path = format!("/v1/jobs/{work}");
        for _ in 0..MAX_POLLS {
            let address = self.gateways[gateway];
            let (status, answer) = self
                .client
                .send(address, &Method::GET, &path, None, None)
                .await?;
            if status != 200 {
                return Err(format!("GET {path} returned {status} {answer}, expected 200").into());
            }
            if !answer["result"].is_null() {
                println!("> gateway {gateway}: GET {path}");
                println!("< {status} {answer}\n");
                return Ok(answer);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{work} did not end after {MAX_POLLS} polls").into())
    }
}

/// Returns an error if a value of a response differs from the expected one.
pub(super) fn expect_value(
    description: &str,
    found: &Value,
    expected: &Value,
) -> Result<(), BoxError> {
    if found != expected {
        return Err(format!("{description}: expected {expected}, found {found}").into());
    }
    Ok(())
}
