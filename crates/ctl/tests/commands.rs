//! Commands against a fake gateway.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Requests that the fake received: method, path, key, token and body.
type Received = Arc<Mutex<Vec<(String, String, String, String, Value)>>>;

/// Result of a command: exit code, standard output and error, and the requests that the gateway received.
struct CommandResult {
    code: u8,
    out: String,
    err: String,
    received: Vec<(String, String, String, String, Value)>,
}

/// Starts a gateway that sends the same response to every request.
async fn fake_gateway(status: u16, answer: Value) -> (SocketAddr, Received) {
    let received = Received::default();
    let log = received.clone();
    let handle = move |req: Request| async move {
        let (parts, body) = req.into_parts();
        let header = |name| {
            let value = parts.headers.get(name).map(|value| value.to_str().unwrap());
            value.unwrap_or_default().to_owned()
        };
        let (key, token) = (header("idempotency-key"), header("authorization"));
        let body = axum::body::to_bytes(body, 1 << 20).await.unwrap();
        let body = serde_json::from_slice(&body).unwrap_or_default();
        let (method, uri) = (parts.method.to_string(), parts.uri.to_string());
        log.lock().unwrap().push((method, uri, key, token, body));
        (StatusCode::from_u16(status).unwrap(), answer.to_string()).into_response()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().fallback(handle);
    tokio::spawn(async move { axum::serve(listener, router).await });
    (address, received)
}

async fn run(status: u16, answer: Value, args: &str) -> CommandResult {
    let (address, received) = fake_gateway(status, answer).await;
    let args: Vec<&str> = args.split_whitespace().collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let gateway = address.to_string();
    let code = lagoon_ctl::run(&args, Some(&gateway), &mut out, &mut err).await;
    CommandResult {
        code,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
        received: received.lock().unwrap().clone(),
    }
}

fn error(code: u16, class: &str) -> Value {
    json!({"code": code, "name": "n", "class": class, "message": "m"})
}

macro_rules! exit_codes {
    ($($(#[$guard:meta])* $name:ident: $args:literal, $status:literal, $answer:expr => $code:literal, $calls:literal calls;)*) => {
        $(
            $(#[$guard])*
            #[tokio::test]
            async fn $name() {
                let result = run($status, $answer, $args).await;
                assert_eq!(result.code, $code, "{}{}", result.out, result.err);
                assert_eq!(result.received.len(), $calls);
            }
        )*
    };
}

exit_codes! {
    /// Guards against a failure exit code for an accepted job.
    done: "submit batch --team a --cpu 500m --memory 2GiB --run 10m", 200, json!({"work": "w:c:0:1:1"})
        => 0, 1 calls;
    /// Guards against a refusal that exits with success.
    refused: "show w:c:0:1:1", 404, error(1008, "not_run") => 1, 1 calls;
    /// Guards against a shard that is moving to another owner and is reported as an unknown outcome.
    elsewhere: "show w:c:0:1:1", 503, error(4002, "elsewhere") => 1, 1 calls;
    /// Guards against an unknown outcome that is reported as "did not run".
    not_known: "submit request --service s --team a", 502, error(3002, "not_known") => 3, 1 calls;
    /// Guards against an error response without a result code that is reported as "did not run".
    answer_without_code: "submit request --service s --team a", 502, json!("x") => 3, 1 calls;
    /// Guards against a request that ran and failed but exits with success.
    work_failed: "submit request --service s --team a", 200, json!({"outcome": "failed", "error": "e"})
        => 1, 1 calls;
    /// Guards against a value with a wrong unit that is sent to the gateway.
    wrong_unit: "submit batch --team a --cpu 500m --memory 2s --run 10m", 200, json!({}) => 2, 0 calls;
    /// Guards against a negative value that is sent to the gateway.
    negative_size: "submit batch --team a --cpu -1 --memory 2GiB --run 10m", 200, json!({}) => 2, 0 calls;
    /// Guards against an incomplete id that cancels other work.
    broken_id: "cancel w:c:0", 200, json!({}) => 2, 0 calls;
    /// Guards against a cancellation without ids that exits with success.
    cancel_nothing: "cancel", 200, json!({}) => 2, 0 calls;
    /// Guards against a request with two identities, a ticket and a key.
    ticket_and_key: "submit request --service s --team a --ticket t:c:0:1:1 --key k", 200, json!({})
        => 2, 0 calls;
    /// Guards against a home that has no effect, because the ticket names the shard.
    ticket_and_home: "submit request --service s --team a --ticket t:c:0:1:1 --home c", 200, json!({})
        => 2, 0 calls;
    /// Guards against an invalid failure domain that is sent to the gateway.
    broken_home: "submit request --service s --team a --home c:1", 200, json!({}) => 2, 0 calls;
    /// Guards against a host name that is resolved instead of rejected.
    gateway_by_name: "--gateway localhost:1 list", 200, json!({}) => 2, 0 calls;
    /// Guards against a cancellation of several jobs that stops at the first refusal.
    cancel_several: "cancel w:c:0:1:1 w:c:0:1:2", 404, error(1008, "not_run") => 1, 2 calls;
    /// Guards against help that exits with a usage error.
    help: "submit gang --help", 200, json!({}) => 0, 0 calls;
}

/// Guards against a printed key that differs from the one sent, and against duplicate generated keys.
#[tokio::test]
async fn generated_key_is_printed_and_sent() {
    let args = "submit request --service s --team a";
    let first = run(200, json!({"outcome": "succeeded", "answer": "42"}), args).await;
    let second = run(200, json!({}), args).await;
    let key = &first.received[0].2;
    assert!(key.starts_with("ctl-"), "{key}");
    assert!(first.err.contains(&format!("--key {key}")), "{}", first.err);
    assert_ne!(*key, second.received[0].2);
}

macro_rules! homes {
    ($($(#[$guard:meta])* $name:ident: $args:literal;)*) => {
        $(
            $(#[$guard])*
            #[tokio::test]
            async fn $name() {
                let result = run(200, json!({}), concat!("submit ", $args, " --home iasi")).await;
                assert_eq!(result.received[0].4["home"], "iasi", "{}", result.err);
                let hint = format!("--key {} --home iasi", result.received[0].2);
                assert!(result.err.contains(&hint), "{}", result.err);
            }
        )*
    };
}

homes! {
    /// Guards against a batch run whose home is not sent or is missing from the hint for a repeat.
    home_of_a_batch_run: "batch --team a --cpu 1 --memory 2GiB --run 10m";
    /// Guards against a gang job whose home is not sent or is missing from the hint for a repeat.
    home_of_a_gang_job: "gang --team a --members 4 --cpu 1 --memory 16GiB --run 1h";
    /// Guards against a request whose home is not sent or is missing from the hint for a repeat.
    home_of_a_request: "request --service s --team a";
}

/// Guards against a body whose units or field names the gateway does not accept.
#[tokio::test]
async fn gang_body_has_units() {
    let args = "submit gang --team a --members 4 --cpu 1.5 --memory 16GiB --run 1h --key k";
    let result = run(200, json!({}), args).await;
    let (method, path, key, _, body) = &result.received[0];
    assert_eq!(
        (method.as_str(), path.as_str(), key.as_str()),
        ("POST", "/v1/jobs", "k")
    );
    let resources = json!({"cpu": "1500m", "memory": "16GiB", "accelerators": 0});
    assert_eq!(
        (&body["resources"], &body["run_ms"]),
        (&resources, &json!(3_600_000))
    );
    assert_eq!(
        (&body["members"], &body["placement"]),
        (&json!(4), &json!({"spread": "pack"}))
    );
}

/// Guards against a table that does not list the shards that did not respond.
#[tokio::test]
async fn table_of_jobs() {
    let job = json!({"work": "w:c:0:1:1", "state": "waiting", "team": "a"});
    let answer = json!({"jobs": [job], "truncated": false, "incomplete": ["c:2"]});
    let result = run(200, answer.clone(), "list --team a --state waiting").await;
    assert!(
        result.out.starts_with("WORK       STATE    KIND"),
        "{}",
        result.out
    );
    assert!(
        result.out.contains("w:c:0:1:1  waiting  -"),
        "{}",
        result.out
    );
    assert!(
        result.out.contains("No answer from shards c:2."),
        "{}",
        result.out
    );
    assert_eq!(
        result.received[0].1,
        "/v1/jobs?limit=100&team=a&state=waiting"
    );
    for format in ["json", "yaml"] {
        let result = run(200, answer.clone(), &format!("--output {format} list")).await;
        assert!(result.out.contains("w:c:0:1:1"), "{}", result.out);
    }
}

/// Guards against a refused connection that is reported as an unknown outcome.
#[tokio::test]
async fn gateway_down() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let args = ["submit", "request", "--service", "s", "--team", "a"];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = lagoon_ctl::run(&args, Some(&address), &mut out, &mut err).await;
    assert_eq!(code, 1);
    assert!(String::from_utf8(err).unwrap().contains("nothing was sent"));
}

/// Guards against a connection that breaks after the request was sent and is reported as "did not run".
#[tokio::test]
async fn answer_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 4096]).await;
    });
    let args = ["submit", "request", "--service", "s", "--team", "a"];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = lagoon_ctl::run(&args, Some(&address), &mut out, &mut err).await;
    assert_eq!(code, 3, "{}", String::from_utf8(err).unwrap());
}

/// Runs `lagoonctl inspect` against a fake node that responds with `answer`.
async fn inspect(answer: Value, what: &str) -> CommandResult {
    let (address, received) = fake_gateway(200, answer).await;
    let args = format!("inspect --node {address} {what}");
    let args: Vec<&str> = args.split_whitespace().collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = lagoon_ctl::run(&args, None, &mut out, &mut err).await;
    CommandResult {
        code,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
        received: received.lock().unwrap().clone(),
    }
}

/// Guards against a list of executors that is not rendered as a table with one row per executor.
#[tokio::test]
async fn executors_of_a_node_are_a_table() {
    let executor = json!({
        "executor": "i-1", "availability": "ready", "free": {"cpu": "2000m", "memory": "1GiB"}, "runs": 3,
        "rests_for": null, "heard_ago": "120ms", "silent": false
    });
    let result = inspect(json!({"executors": [executor]}), "executors").await;
    assert_eq!(result.code, 0, "{}", result.err);
    assert_eq!(result.received[0].1, "/v1/executors");
    let lines: Vec<Vec<&str>> = result
        .out
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(
        lines[1],
        ["i-1", "ready", "2000m", "1GiB", "3", "-", "120ms", "false"]
    );
}

/// Guards against a request that goes to the gateway instead of the node, or to the wrong path.
#[tokio::test]
async fn a_job_of_a_node_is_asked_by_its_id() {
    let result = inspect(json!({"job": "5c0e7a21d94b36f8"}), "job 5c0e7a21d94b36f8").await;
    assert_eq!(result.code, 0, "{}", result.err);
    assert_eq!(result.received[0].1, "/v1/jobs/5c0e7a21d94b36f8");
}
