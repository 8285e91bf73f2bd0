use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lagoon_gateway::{Gateway, GatewaySettings};
use lagoon_process::{Clock, settings};
use serde_json::Value;

use crate::fake_scheduler::FakeScheduler;

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP status and JSON body.
pub(crate) type Answer = (u16, Value);

/// Body of a request without a ticket.
pub(crate) const REQUEST: &str = r#"{"service":"settle","team":"a","payload":"hello"}"#;
/// Body of a request with ticket 5 of shard 0.
pub(crate) const REQUEST_WITH_TICKET: &str =
    r#"{"service":"settle","team":"a","payload":"hello","ticket":"t:cluj:0:1:5"}"#;

/// Starts a gateway for the schedulers `fakes`; `extra` is added to its settings. Without them it has one shard, the
/// failure domain `cluj` and the default home `cluj`.
pub(crate) async fn start(fakes: &[&FakeScheduler], extra: &str) -> Gateway {
    let seeds: Vec<String> = fakes.iter().map(|fake| fake.address.to_string()).collect();
    let shards = if extra.contains("shards:") {
        ""
    } else {
        "shards: 1"
    };
    let home = if extra.contains("default_home:") {
        ""
    } else {
        "default_home: cluj"
    };
    let domain = if extra.contains("failure_domain:") {
        ""
    } else {
        "failure_domain: cluj"
    };
    let text = format!(
        "process: g1\n{domain}\nlisten: 127.0.0.1:0\nschedulers: [{}]\n\
         max_body: 1KiB\nread_timeout: 300ms\ndrain_wait: 50ms\n{shards}\n{home}\n{extra}\n",
        seeds.join(", "),
    );
    let settings: GatewaySettings = settings::parse(Path::new("test.yaml"), &text).unwrap();
    Gateway::bind(settings, Clock::anchored()).await.unwrap()
}

/// Starts a gateway and waits until it is ready.
pub(crate) async fn start_ready(fakes: &[&FakeScheduler], extra: &str) -> Gateway {
    let gateway = start(fakes, extra).await;
    let ready = gateway.readiness().wait();
    tokio::time::timeout(READY_TIMEOUT, ready).await.unwrap();
    gateway
}

/// Sends an HTTP request; `headers` have the form `name: value`.
pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: impl Into<Bytes>,
) -> Answer {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for header in headers {
        let (name, value) = header.split_once(": ").unwrap();
        req = req.header(name, value);
    }
    let req = req.body(Full::new(body.into())).unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(req).await.unwrap();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Sends a service request with this body.
pub(crate) async fn run(gateway: &Gateway, body: &'static str) -> Answer {
    send(gateway.address(), "POST", "/v1/requests", &[], body).await
}
