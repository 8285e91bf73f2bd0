//! Control of the fakes from outside the process.

use lagoon_standin::platform::{PlatformHandle, PlatformSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one request and returns the status line and body, empty if the connection was closed.
async fn send(address: std::net::SocketAddr, line: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let req = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A reset has the same meaning here as a closed connection.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8(answer).unwrap()
}

macro_rules! faults_over_http {
    ($($name:ident: $rule:literal, $line:literal => $expected:literal;)*) => {
        $(
            /// Guards against a fault that can only be set in process, and against one that stays after it was cleared.
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
                let answer = send(own, $line, "").await;
                assert_eq!(answer.lines().next().unwrap_or_default(), $expected);
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
    executor_drops_answers: r#"{"target":"executor:cluj-e0","mode":"drop_answer","count":1}"#,
        "GET /e/cluj-e0/status" => "";
    executor_delays: r#"{"target":"all","mode":{"delay":5}}"#, "GET /e/cluj-e0/status"
        => "HTTP/1.1 200 OK";
    other_process_is_served: r#"{"target":"store","mode":"refuse","process":"p9"}"#, "GET /kv?prefix=a"
        => "HTTP/1.1 200 OK";
}

/// Guards against counters and switches that a program in another process can't reach.
#[tokio::test]
async fn control_paths_answer() {
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
        let answer = send(address, line, "").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{line}: {answer}");
    }
    platform.stop().await;
}
