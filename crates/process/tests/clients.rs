//! Clients outside the limits of a server.

use std::net::SocketAddr;

use axum::Router;
use axum::body::Bytes;
use axum::routing::post;
use lagoon_process::Metrics;
use lagoon_process::server::{Limits, Server, Serving};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const HEAD: &str = "POST / HTTP/1.1\r\nhost: x\r\n";

/// Server with a handler that returns the size of the body.
struct TestServer {
    server: Server<Serving>,
    metrics: Metrics,
}

impl TestServer {
    async fn start(limits: Limits) -> Self {
        let count = |body: Bytes| async move { body.len().to_string() };
        let router = Router::new().route("/", post(count));
        let metrics = Metrics::default();
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(any, limits).await.unwrap();
        let server = server.with_metrics(metrics.clone()).serve(router);
        Self { server, metrics }
    }

    fn address(&self) -> SocketAddr {
        self.server.address()
    }

    async fn connect(&self, sent: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address()).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        stream
    }

    fn metric(&self, name: &str) -> u64 {
        self.metrics.snapshot().get(name).copied().unwrap_or(0)
    }
}

fn request(body: &str) -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len())
}

/// Reads a response whose body ends with `end`.
async fn expect_response(stream: &mut TcpStream, status: &str, end: &str) {
    let mut answer = Vec::new();
    while !answer.ends_with(end.as_bytes()) {
        let count = stream.read_buf(&mut answer).await.unwrap();
        let text = String::from_utf8_lossy(&answer);
        assert!(count > 0, "the connection was closed after {text:?}");
    }
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with(&format!("HTTP/1.1 {status}")), "{text}");
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    // A reset also ends the connection.
    matches!(stream.read(&mut [0; 100]).await, Ok(0) | Err(_))
}

macro_rules! cases {
    ($($(#[$guard:meta])* $name:ident $body:block)*) => {
        $($(#[$guard])* #[tokio::test] async fn $name() $body)*
    };
}

cases! {
    /// Guards against empty lines without end, which the HTTP library accepts before a request.
    empty_lines_end_the_connection {
        let server = TestServer::start(Limits::default()).await;
        let mut stream = server.connect(&"\r\n".repeat(600)).await;
        assert!(is_closed(&mut stream).await);
        assert_eq!(server.metric("connections.closed_empty_lines"), 1);
        let text = format!("{}{}", "\r\n".repeat(10), request("four"));
        let mut caller = server.connect(&text).await;
        expect_response(&mut caller, "200", "4").await;
    }
}
