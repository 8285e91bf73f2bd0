//! Server life cycle, health endpoints, metrics and clock.

use std::net::UdpSocket;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use lagoon_core::unit::Millis;
use lagoon_process::health::{self, Readiness};
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::server::{Limits, Server};
use lagoon_process::shutdown::Signal;
use lagoon_process::{Clock, Metrics};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a GET request on a new connection and returns the complete response.
async fn request(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Drains a server while it handles a request that takes `wait`. Returns the response, and true if the request finished
/// within `limit`.
async fn drain_during_request(wait: Duration, limit: Millis) -> (String, bool) {
    let (tx, mut request_received) = tokio::sync::mpsc::channel(1);
    let slow = move || async move {
        tx.send(()).await.unwrap();
        tokio::time::sleep(wait).await;
        "whole answer"
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Limits::default()).await.unwrap();
    let server = server.serve(Router::new().route("/", get(slow)));
    let address = server.address();
    let call = tokio::spawn(async move { request(address, "/").await });
    request_received.recv().await.unwrap();
    let draining = server.drain();
    let finished = draining.stopped(limit).await;
    let refused = TcpStream::connect(address).await.is_err();
    assert!(refused, "the stopped server still accepts connections");
    let answer = if finished {
        call.await.unwrap()
    } else {
        String::new()
    };
    (answer, finished)
}

macro_rules! drains {
    ($($(#[$guard:meta])* $name:ident: $wait:literal ms, limit $limit:literal ms => $finished:literal;)*) => {
        $(
            $(#[$guard])*
            #[tokio::test]
            async fn $name() {
                let (answer, finished) = drain_during_request(Duration::from_millis($wait), Millis::new($limit)).await;
                assert_eq!(finished, $finished);
                assert_eq!(answer.ends_with("whole answer"), $finished, "{answer}");
            }
        )*
    };
}

drains! {
    /// Guards against a shutdown that aborts a request in flight.
    request_in_flight_finishes: 300 ms, limit 20_000 ms => true;
    /// Guards against a shutdown that waits for a request without limit.
    stop_has_a_limit: 60_000 ms, limit 200 ms => false;
}

/// Guards against a process that reports ready too early, or not ready without a reason.
#[tokio::test]
async fn readiness_is_served() {
    let readiness = Readiness::not_ready("no policy");
    let metrics = Metrics::start(&MetricsSettings::default()).unwrap();
    metrics.count("calls", 2);
    metrics.count("calls", 3);
    metrics.gauge("queued", 7);
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, Limits::default()).await.unwrap();
    let server = server.serve(health::router(&readiness).merge(metrics.router()));
    let before = request(server.address(), "/readyz").await;
    assert!(
        before.starts_with("HTTP/1.1 503") && before.contains("no policy"),
        "{before}"
    );
    assert!(readiness.set(None));
    let after = request(server.address(), "/readyz").await;
    assert!(after.starts_with("HTTP/1.1 200"), "{after}");
    let counted = request(server.address(), "/metrics").await;
    assert!(counted.ends_with(r#"{"calls":5,"queued":7}"#), "{counted}");
    assert!(server.drain().stopped(Millis::new(20_000)).await);
}

/// Guards against counters that are not sent to statsd.
#[tokio::test]
async fn statsd_receives_counts() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let statsd = Some(socket.local_addr().unwrap().to_string().parse().unwrap());
    let settings = MetricsSettings {
        statsd,
        ..MetricsSettings::default()
    };
    let metrics = Metrics::start(&settings).unwrap();
    metrics.count("calls", 4);
    let receive = move || {
        let mut buf = [0; 100];
        let size = socket.recv(&mut buf).unwrap();
        String::from_utf8_lossy(&buf[..size]).into_owned()
    };
    let datagram = tokio::task::spawn_blocking(receive).await.unwrap();
    assert_eq!(datagram.trim(), "lagoon.calls:4|c");
}

/// Guards against a shutdown request that one of several waiters misses.
#[tokio::test]
async fn signal_reaches_every_waiter() {
    let (trigger, signal) = Signal::manual();
    let waiters = [signal.clone(), signal.clone()];
    assert!(!signal.is_set());
    trigger.fire();
    for mut waiter in waiters {
        waiter.wait().await;
        assert!(waiter.is_set());
    }
}

/// Guards against a clock that goes back or does not advance.
#[test]
fn clock_advances() {
    let clock = Clock::anchored();
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    let passed = clock.now().since(before);
    assert!(passed >= Millis::new(19), "{passed}");
}
