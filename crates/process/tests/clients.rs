//! Clients outside the limits of a server: which connection gives way, what is refused, and how much work they cause.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::routing::post;
use lagoon_core::unit::{Bytes as Size, Millis};
use lagoon_process::Metrics;
use lagoon_process::server::{Limits, Server, Serving};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Barrier, mpsc};
use tokio::task::JoinSet;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(60);
const HEAD: &str = "POST / HTTP/1.1\r\nhost: x\r\n";

/// Server with a handler that returns the size of the body.
struct TestServer {
    server: Server<Serving>,
    metrics: Metrics,
}

impl TestServer {
    async fn start(limits: Limits) -> Self {
        let count = |body: Bytes| async move { body.len().to_string() };
        Self::with_router(limits, Router::new().route("/", post(count))).await
    }

    async fn with_router(limits: Limits, router: Router) -> Self {
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

    /// Waits until a metric has reached a value.
    async fn wait_for(&self, name: &str, value: u64) {
        let reached = async {
            while self.metric(name) != value {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let in_time = tokio::time::timeout(TIMEOUT, reached).await.is_ok();
        let now = self.metric(name);
        assert!(in_time, "{name} is {now}, expected {value}");
    }
}

fn limits() -> Limits {
    Limits {
        max_body: Size::new(256 << 10),
        read_timeout: Millis::new(20_000),
        max_connections: 4,
        request_memory: Size::new(256 << 10),
    }
}

fn request(body: &str) -> String {
    format!("{HEAD}content-length: {}\r\n\r\n{body}", body.len())
}

/// Returns a request of `size` bytes without its last ones.
fn incomplete(size: usize) -> String {
    let body = "a".repeat(size - 10);
    format!("{HEAD}content-length: {size}\r\n\r\n{body}")
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
    /// Guards against a crowd of silent connections that keeps new callers out.
    new_connection_replaces_oldest {
        let server = TestServer::start(limits()).await;
        let mut silent = Vec::new();
        for open in 1..=4 {
            silent.push(server.connect("").await);
            server.wait_for("connections.open", open).await;
        }
        let mut caller = server.connect(&request("four")).await;
        expect_response(&mut caller, "200", "4").await;
        assert!(is_closed(&mut silent[0]).await);
        assert_eq!(server.metric("connections.closed_for_new"), 1);
        assert_eq!(server.metric("connections.open"), 4);
    }

    /// Guards against a crowd of silent connections that drives out idle connections of ordinary callers.
    served_connection_stays {
        let server = TestServer::start(limits()).await;
        let mut caller = server.connect(&request("four")).await;
        expect_response(&mut caller, "200", "4").await;
        let mut crowd = Vec::new();
        for _ in 0..20 {
            crowd.push(server.connect("").await);
        }
        server.wait_for("connections.closed_for_new", 17).await;
        caller.write_all(request("three").as_bytes()).await.unwrap();
        expect_response(&mut caller, "200", "5").await;
    }

    /// Guards against connections that a crowd got by one ordinary request each, and that keep new callers out.
    served_connections_give_way {
        let server = TestServer::start(limits()).await;
        let mut crowd = Vec::new();
        for _ in 0..4 {
            let mut stream = server.connect(&request("a")).await;
            expect_response(&mut stream, "200", "1").await;
            crowd.push(stream);
        }
        let mut caller = server.connect("").await;
        server.wait_for("connections.closed_for_new", 1).await;
        let later = server.connect("").await;
        server.wait_for("connections.closed_for_new", 2).await;
        caller.write_all(request("four").as_bytes()).await.unwrap();
        expect_response(&mut caller, "200", "4").await;
        drop(later);
    }

    /// Guards against bodies just short of their end that hold all memory for requests.
    body_replaces_oldest_body {
        let server = TestServer::start(limits()).await;
        let mut oldest = server.connect(&incomplete(200 << 10)).await;
        server.wait_for("connections.request_bytes", 208 << 10).await;
        let mut caller = server.connect(&request(&"a".repeat(100 << 10))).await;
        expect_response(&mut caller, "200", "102400").await;
        assert!(is_closed(&mut oldest).await);
        assert_eq!(server.metric("connections.closed_for_memory"), 1);
    }

    /// Guards against an ordinary request that waits for memory, or takes it from others.
    small_body_needs_no_memory {
        let server = TestServer::start(limits()).await;
        let _holder = server.connect(&incomplete(200 << 10)).await;
        server.wait_for("connections.request_bytes", 208 << 10).await;
        let mut caller = server.connect(&request(&"a".repeat(8 << 10))).await;
        expect_response(&mut caller, "200", "8192").await;
        assert_eq!(server.metric("connections.closed_for_memory"), 0);
    }

    /// Guards against a request in progress that is cut off, and against a refusal without a time for the retry.
    processed_requests_keep_memory {
        let (tx, mut begun) = mpsc::channel(1);
        let (release, released) = tokio::sync::watch::channel(false);
        let handler = move |body: Bytes| {
            let (tx, mut released) = (tx.clone(), released.clone());
            async move {
                tx.send(()).await.unwrap();
                released.wait_for(|released| *released).await.unwrap();
                body.len().to_string()
            }
        };
        let router = Router::new().route("/", post(handler));
        let server = TestServer::with_router(limits(), router).await;
        let mut processed = server.connect(&request(&"a".repeat(200 << 10))).await;
        begun.recv().await.unwrap();
        let mut caller = server.connect(&request(&"a".repeat(200 << 10))).await;
        expect_response(&mut caller, "503", r#""retry_after_ms":1000}"#).await;
        release.send_replace(true);
        expect_response(&mut processed, "200", "204800").await;
        server.wait_for("connections.request_bytes", 0).await;
    }

    /// Guards against memory that is not given back when a client disconnects, times out or is refused.
    memory_is_given_back {
        let limits = Limits { read_timeout: Millis::new(200), ..limits() };
        let server = TestServer::start(limits).await;
        drop(server.connect(&incomplete(100 << 10)).await);
        let mut slow = server.connect(&incomplete(100 << 10)).await;
        expect_response(&mut slow, "408", "}").await;
        let mut large = server.connect(&request(&"a".repeat(300 << 10))).await;
        expect_response(&mut large, "413", "}").await;
        server.wait_for("connections.request_bytes", 0).await;
        drop((slow, large));
        server.wait_for("connections.open", 0).await;
    }

    /// Guards against heads of earlier requests that are counted on a connection that stays open.
    kept_connection_reserves_nothing {
        let server = TestServer::start(limits()).await;
        let mut caller = server.connect("").await;
        for _ in 0..300 {
            caller.write_all(request("four").as_bytes()).await.unwrap();
            expect_response(&mut caller, "200", "4").await;
        }
        assert_eq!(server.metric("connections.request_bytes"), 0);
    }

    /// Guards against a connection that stays blocked after its client has read a large response.
    connection_goes_on_after_a_late_reader {
        const SIZE: usize = 8 << 20;
        let large = || async { "a".repeat(SIZE) };
        let server = TestServer::with_router(limits(), Router::new().route("/", post(large))).await;
        let mut client = server.connect(&request("")).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        for _ in 0..2 {
            let mut received = 0;
            while received < SIZE {
                let count = client.read(&mut [0; 64 << 10]).await.unwrap();
                assert!(count > 0, "closed after {received} bytes");
                received += count;
            }
            // The rest of the first response is its head.
            client.write_all(request("").as_bytes()).await.unwrap();
        }
    }

    /// Guards against a client that occupies memory and a connection by not reading its response.
    unread_response_is_abandoned {
        let limits = Limits { read_timeout: Millis::new(200), ..limits() };
        let large = || async { "a".repeat(64 << 20) };
        let server = TestServer::with_router(limits, Router::new().route("/", post(large))).await;
        let _client = server.connect(&request("")).await;
        server.wait_for("connections.closed_unread", 1).await;
        server.wait_for("connections.open", 0).await;
    }

    /// Guards against empty lines without end, which the HTTP library accepts before a request.
    empty_lines_end_the_connection {
        let server = TestServer::start(limits()).await;
        let mut stream = server.connect(&"\r\n".repeat(600)).await;
        assert!(is_closed(&mut stream).await);
        assert_eq!(server.metric("connections.closed_empty_lines"), 1);
        let text = format!("{}{}", "\r\n".repeat(10), request("four"));
        let mut caller = server.connect(&text).await;
        expect_response(&mut caller, "200", "4").await;
    }

    /// Guards against chunks of one byte that take as much processor time as their sender likes. One body passes at once,
    /// three more at 32,000 chunks a second take 6.1 s.
    small_chunks_are_paced {
        let limits = Limits { max_body: Size::new(64 << 10), ..limits() };
        let server = TestServer::start(limits).await;
        let chunks = "1\r\na\r\n".repeat(64 << 10);
        let text = format!("{HEAD}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
        let started = Instant::now();
        let mut calls = tokio::task::JoinSet::new();
        for _ in 0..4 {
            let (address, text) = (server.address(), text.clone());
            calls.spawn(async move {
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all(text.as_bytes()).await.unwrap();
                expect_response(&mut stream, "200", "65536").await;
            });
        }
        calls.join_all().await;
        assert!(started.elapsed() >= Duration::from_secs(6));
    }

    /// Guards against a client whose many requests, sent at once, keep other clients waiting.
    pipelined_requests_take_turns {
        let order = Arc::new(Mutex::new(String::new()));
        let both_arrived = Arc::new(Barrier::new(2));
        let handled = order.clone();
        let record = move |body: String| {
            handled.lock().unwrap().push_str(&body);
            async {}
        };
        let wait = move || {
            let both_arrived = both_arrived.clone();
            async move {
                both_arrived.wait().await;
            }
        };
        let router = Router::new().route("/", post(record)).route("/wait", post(wait));
        let server = TestServer::with_router(limits(), router).await;
        let mut clients = JoinSet::new();
        for body in ["a", "b"] {
            let first = "POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
            let last = format!("POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 1\r\n\r\n{body}");
            let requests = format!("{first}{}{last}", request(body).repeat(9));
            let mut stream = server.connect(&requests).await;
            clients.spawn(async move { stream.read_to_end(&mut Vec::new()).await.unwrap() });
        }
        clients.join_all().await;
        let order = order.lock().unwrap();
        assert_eq!(order.len(), 20);
        assert!(!order.contains("aaa") && !order.contains("bbb"), "{order}");
    }

    /// Guards against new connections that are lost while many others wait to be accepted.
    many_connections_wait_to_be_accepted {
        let any = "127.0.0.1:0".parse().unwrap();
        let server = Server::bind(any, limits()).await.unwrap();
        let mut open = Vec::new();
        for number in 0..400 {
            let connect = TcpStream::connect(server.address());
            let connected = tokio::time::timeout(TIMEOUT, connect).await;
            let in_time = connected.unwrap_or_else(|_| panic!("connection {number} was lost"));
            open.push(in_time.unwrap());
        }
    }
}
