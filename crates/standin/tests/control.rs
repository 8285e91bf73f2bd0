//! Control of the fakes over HTTP from another process.

use lagoon_standin::platform::{PlatformHandle, PlatformSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request and returns the whole response, empty if the connection was closed.
async fn send(address: std::net::SocketAddr, line: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let req = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // A connection reset is treated like a closed connection.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).unwrap()
}

macro_rules! faults_over_http {
    ($($name:ident: $rule:literal, $line:literal => $expected:literal;)*) => {
        $(
            /// Guards against faults that can't be set over HTTP, and against faults that persist after a clear.
            #[tokio::test]
            async fn $name() {
                let platform = PlatformHandle::bind(PlatformSettings::default()).await.unwrap();
                let servers = [
                    (platform.store.address(), "/kv?"),
                    (platform.hosts.address(), "/hosts"),
                    (platform.workers.address(), "/w/"),
                    (platform.executors.address(), "/e/"),
                ];
                let own = servers.iter().find(|(_, path)| $line.contains(path)).unwrap().0;
                let add = concat!(r#"{"add":"#, $rule, "}");
                assert!(send(own, "POST /faults", add).await.starts_with("HTTP/1.1 200"));
                let response = send(own, $line, "").await;
                assert_eq!(response.lines().next().unwrap_or_default(), $expected);
                let clear = r#"{"clear":"all"}"#;
                assert!(send(own, "POST /faults", clear).await.starts_with("HTTP/1.1 200"));
                assert!(send(own, $line, "").await.starts_with("HTTP/1.1 200"));
                platform.stop().await;
            }
        )*
    };
}

faults_over_http! {
    store_refuses: r#"{"target":"store","mode":"refuse"}"#, "GET /kv?prefix=a"
        => "HTTP/1.1 503 Service Unavailable";
    hosts_unreachable: r#"{"target":"hosts","mode":"unreachable"}"#, "GET /hosts" => "";
    executor_drops_responses: r#"{"target":"executor:cluj-e0","mode":"drop_answer","count":1}"#,
        "GET /e/cluj-e0/status" => "";
    executor_delays: r#"{"target":"all","mode":{"delay":5}}"#, "GET /e/cluj-e0/status"
        => "HTTP/1.1 200 OK";
    other_process_is_served: r#"{"target":"store","mode":"refuse","process":"p9"}"#, "GET /kv?prefix=a"
        => "HTTP/1.1 200 OK";
}

/// Guards against counters and control paths that are not served over HTTP.
#[tokio::test]
async fn control_paths_respond() {
    let platform = PlatformHandle::bind(PlatformSettings::default())
        .await
        .unwrap();
    let paths = [
        (platform.store.address(), "GET /calls"),
        (platform.workers.address(), "GET /violations"),
        (platform.workers.address(), "POST /workers/cluj-w0/crash"),
        (platform.workers.address(), "POST /workers/cluj-w0/restart"),
        (platform.workers.address(), "GET /starts"),
        (platform.workers.address(), "POST /workers/cluj-w0/fail"),
        (platform.workers.address(), "POST /workers/cluj-w0/recover"),
        (platform.executors.address(), "GET /runs"),
        (platform.executors.address(), "GET /payloads"),
    ];
    for (address, line) in paths {
        let response = send(address, line, "").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{line}: {response}");
    }
    platform.stop().await;
}
