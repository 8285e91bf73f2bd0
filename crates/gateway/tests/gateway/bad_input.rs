//! Invalid input is refused with a numbered error and not forwarded.

use lagoon_core::ResultCode;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake_scheduler::FakeScheduler;
use crate::harness::{send, start_ready};

const KEY: &[&str] = &["idempotency-key: k1"];

async fn refused(method: &str, path: &str, headers: &[&str], body: String, code: ResultCode) {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let gateway = start_ready(&[&fake], "").await;
    let (status, answer) = send(gateway.address(), method, path, headers, body).await;
    assert_eq!(answer["code"], code.number(), "{answer}");
    assert_eq!(answer["class"], "not_run");
    assert!((400..500).contains(&status), "{status}");
    assert_eq!(fake.calls(), [""; 0]);
    assert_eq!(fake.with(|state| state.cancelled.len()), 0);
    gateway.stop().await;
}

macro_rules! refused {
    ($($(#[$meta:meta])* $name:ident: $method:literal $path:literal $headers:expr, $body:expr => $code:ident;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                refused($method, $path, $headers, $body.to_string(), ResultCode::$code).await;
            }
        )*
    };
}

/// Returns the body of a valid job with one string replaced by another.
fn job(from: &str, to: &str) -> String {
    let valid =
        r#"{"kind":"batch","team":"a","run_ms":1000,"resources":{"cpu":"500m","memory":"2GiB"}}"#;
    assert!(valid.contains(from));
    valid.replacen(from, to, 1)
}

refused! {
    /// Guards against a misspelled field that is ignored.
    unknown_field: "POST" "/v1/requests" &[], r#"{"service":"s","team":"a","prio":3}"# => UnknownField;
    /// Guards against a misspelled nested field that is ignored.
    unknown_nested_field: "POST" "/v1/jobs" KEY, job("memory", "mem") => UnknownField;
    /// Guards against a truncated body that is accepted.
    cut_json: "POST" "/v1/requests" &[], r#"{"service":"s","team":"a""# => Malformed;
    /// Guards against a request that counts for no team.
    missing_field: "POST" "/v1/requests" &[], r#"{"service":"s"}"# => Malformed;
    /// Guards against a size in a wrong unit that is accepted.
    wrong_unit: "POST" "/v1/jobs" KEY, job("2GiB", "2s") => InvalidValue;
    /// Guards against a number without a unit that is accepted with an assumed unit.
    number_without_unit: "POST" "/v1/jobs" KEY, job("\"2GiB\"", "2") => InvalidValue;
    /// Guards against a negative size that wraps to a huge one.
    negative_size: "POST" "/v1/jobs" KEY, job("2GiB", "-2GiB") => InvalidValue;
    /// Guards against a negative count that wraps to a huge one.
    negative_count: "POST" "/v1/tickets" &[], r#"{"service":"s","count":-1}"# => InvalidValue;
    /// Guards against a call that exhausts the tickets.
    too_many_tickets: "POST" "/v1/tickets" &[], r#"{"service":"s","count":1001}"# => InvalidValue;
    /// Guards against a job that needs no resources, of which any number can be placed.
    zero_resources: "POST" "/v1/jobs" KEY, job("500m", "0") => InvalidValue;
    /// Guards against an overflow of the total resources of a job.
    too_many_members: "POST" "/v1/jobs" KEY,
        job("\"batch\"", "\"gang\",\"members\":4294967295").replace("2GiB", "8000000GiB") => InvalidValue;
    /// Guards against a batch job that starts several tasks.
    batch_with_members: "POST" "/v1/jobs" KEY, job("\"batch\"", "\"batch\",\"members\":2") => InvalidValue;
    /// Guards against a job that is submitted twice by a retry.
    job_without_key: "POST" "/v1/jobs" &[], job("batch", "batch") => MissingKey;
    /// Guards against a key with characters that can't be stored.
    key_with_spaces: "POST" "/v1/jobs" &["idempotency-key: a b"], job("batch", "batch") => InvalidValue;
    /// Guards against a request with two ids for duplicate detection.
    ticket_and_key: "POST" "/v1/requests" KEY,
        r#"{"service":"s","team":"a","ticket":"t:cluj:0:1:5"}"# => InvalidValue;
    /// Guards against an invalid ticket that is accepted.
    broken_ticket: "DELETE" "/v1/tickets/t:cluj:0" &[], "" => InvalidTicket;
    /// Guards against an invalid work id that is accepted.
    broken_work: "DELETE" "/v1/jobs/all" &[], "" => InvalidValue;
    /// Guards against a misspelled filter that is ignored, so that everything is listed.
    unknown_filter: "GET" "/v1/jobs?teams=a" &[], "" => UnknownField;
    /// Guards against an invalid filter value that gives an empty list instead of an error.
    unknown_state: "GET" "/v1/jobs?state=done" &[], "" => InvalidValue;
    /// Guards against an error response without the common JSON form.
    unknown_path: "GET" "/v2/jobs" &[], "" => UnknownRoute;
    /// Guards against a body that exhausts the memory.
    large_body: "POST" "/v1/requests" &[], "x".repeat(3_000) => BodyTooLarge;
}

async fn send_raw(sent: &str, then_close: bool) -> String {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let gateway = start_ready(&[&fake], "").await;
    let mut stream = TcpStream::connect(gateway.address()).await.unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    if then_close {
        stream.shutdown().await.unwrap();
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert_eq!(fake.calls(), [""; 0]);
    gateway.stop().await;
    answer
}

const PARTIAL_REQUEST: &str =
    "POST /v1/requests HTTP/1.1\r\nHost: g\r\nContent-Length: 200\r\n\r\n{";

/// Guards against a slow sender that keeps a connection open forever.
#[tokio::test]
async fn slow_body() {
    let answer = send_raw(PARTIAL_REQUEST, false).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    let body = answer.split("\r\n\r\n").nth(1).unwrap();
    let body: Value = serde_json::from_str(body).unwrap();
    assert_eq!(body["code"], ResultCode::ReadTimeout.number());
}

/// Guards against a sender that never completes its header.
#[tokio::test]
async fn slow_header() {
    let answer = send_raw("POST /v1/requests HTTP/1.1\r\nHost:", false).await;
    // Without a complete header there is no request to answer; the connection is closed.
    assert_eq!(answer, "");
}

/// Guards against a request that runs although its body was truncated.
#[tokio::test]
async fn truncated_body() {
    let answer = send_raw(PARTIAL_REQUEST, true).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 400"),
        "{answer}"
    );
}
