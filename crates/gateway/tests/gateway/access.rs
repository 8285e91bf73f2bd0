//! Callers with tokens can see and submit only work of their teams.

use lagoon_core::ResultCode;
use serde_json::Value;

use crate::fake_scheduler::FakeScheduler;
use crate::harness::{send, start_ready};
use crate::jobs::job;

const TOKENS: &str = "tokens: [{caller: desk, token: 0123456789abcdef, teams: [a]}]";
const VALID_TOKEN_HEADER: &str = "authorization: Bearer 0123456789abcdef";

async fn ask(
    method: &str,
    path: &str,
    headers: &[&str],
    body: &'static str,
) -> (Value, FakeScheduler) {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let jobs = vec![job("w:cluj:0:1:1", "a", 1), job("w:cluj:0:1:2", "b", 2)];
    fake.with(|state| state.jobs = jobs);
    let gateway = start_ready(&[&fake], TOKENS).await;
    let (_, answer) = send(gateway.address(), method, path, headers, body).await;
    gateway.stop().await;
    (answer, fake)
}

macro_rules! denied {
    ($($(#[$meta:meta])* $name:ident: $method:literal $path:literal $headers:expr, $body:expr => $code:ident;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                let (answer, fake) = ask($method, $path, $headers, $body).await;
                assert_eq!(answer["code"], ResultCode::$code.number(), "{answer}");
                assert_eq!(fake.calls(), [""; 0]);
                assert_eq!(fake.with(|state| state.cancelled.len()), 0);
            }
        )*
    };
}

const OTHER_TEAM: &str = r#"{"service":"s","team":"b"}"#;

denied! {
    /// Guards against access without a token.
    no_token: "POST" "/v1/requests" &[], OTHER_TEAM => Unauthorized;
    /// Guards against access with a prefix of a known token.
    part_of_a_token: "GET" "/v1/jobs" &["authorization: Bearer 0123456789abcde"], "" => Unauthorized;
    /// Guards against access with an empty token.
    empty_token: "GET" "/v1/jobs" &["authorization: Bearer "], "" => Unauthorized;
    /// Guards against work submitted on account of another team.
    submit_for_another_team: "POST" "/v1/requests" &[VALID_TOKEN_HEADER], OTHER_TEAM => Forbidden;
    /// Guards against a caller that can read another team's work.
    show_of_another_team: "GET" "/v1/jobs/w:cluj:0:1:2" &[VALID_TOKEN_HEADER], "" => UnknownWork;
    /// Guards against a caller that can cancel another team's work.
    cancel_of_another_team: "DELETE" "/v1/jobs/w:cluj:0:1:2" &[VALID_TOKEN_HEADER], "" => UnknownWork;
    /// Guards against a caller that can list another team's work.
    list_of_another_team: "GET" "/v1/jobs?team=b" &[VALID_TOKEN_HEADER], "" => Forbidden;
}

/// Guards against a list without a filter that includes other teams.
#[tokio::test]
async fn list_shows_own_teams() {
    let (answer, _) = ask("GET", "/v1/jobs", &[VALID_TOKEN_HEADER], "").await;
    assert_eq!(answer["jobs"].as_array().unwrap().len(), 1, "{answer}");
    assert_eq!(answer["jobs"][0]["team"], "a");
}

/// Guards against a caller that can't cancel its own work.
#[tokio::test]
async fn cancel_own_work() {
    let (answer, fake) = ask("DELETE", "/v1/jobs/w:cluj:0:1:1", &[VALID_TOKEN_HEADER], "").await;
    assert_eq!(answer["work"], "w:cluj:0:1:1", "{answer}");
    assert_eq!(fake.with(|state| state.cancelled.clone()), ["w:cluj:0:1:1"]);
}

/// Guards against a token that leaks into a log line or a panic message.
#[test]
fn token_is_not_printed() {
    let token = lagoon_process::Token::new("0123456789abcdef");
    assert!(!format!("{token:?}").contains("0123"));
}
