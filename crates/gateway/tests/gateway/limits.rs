//! Limits on requests in flight.

use std::time::Duration;

use lagoon_core::ResultCode;
use lagoon_gateway::Gateway;
use tokio::task::JoinSet;

use crate::fake_scheduler::{FakeScheduler, Reply};
use crate::harness::{Answer, send, start_ready};

/// Returns the body of a request whose output is the name of its team.
fn request(team: &str) -> String {
    format!(r#"{{"service":"s","team":"{team}","payload":"{team}"}}"#)
}

async fn post(gateway: &Gateway, path: &str, headers: &[&str], body: String) -> Answer {
    send(gateway.address(), "POST", path, headers, body).await
}

/// Sends a request for each entry of `teams`, and waits until the scheduler holds all of them.
async fn occupy(gateway: &Gateway, fake: &FakeScheduler, teams: &[&str]) -> JoinSet<Answer> {
    fake.reply(&vec![Reply::Hold; teams.len()]);
    let mut calls = JoinSet::new();
    for team in teams {
        let (address, body) = (gateway.address(), request(team));
        calls.spawn(async move { send(address, "POST", "/v1/requests", &[], body).await });
    }
    while fake.calls().len() < teams.len() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    calls
}

/// Asserts that a request was refused as busy with a retry delay.
fn assert_busy((status, answer): &Answer) {
    assert_eq!(
        answer["code"],
        ResultCode::GatewayBusy.number(),
        "{status} {answer}"
    );
    assert_eq!((*status, &answer["class"]), (503, &"elsewhere".into()));
    assert_eq!(answer["retry_after_ms"], 1_000);
}

macro_rules! beyond_the_limit {
    ($($(#[$meta:meta])* $name:ident: $settings:literal, [$($team:literal),*]
        then $path:literal $headers:expr, $body:expr => $expected:literal;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                let fake = FakeScheduler::start("s1");
                fake.claim("cluj:0", 1);
                let gateway = start_ready(&[&fake], $settings).await;
                let occupied = [$($team),*];
                let calls = occupy(&gateway, &fake, &occupied).await;
                let answer = post(&gateway, $path, $headers, $body).await;
                if $expected == "busy" {
                    assert_busy(&answer);
                    assert_eq!(fake.calls().len(), occupied.len());
                } else {
                    assert_eq!(answer.1["outcome"], $expected, "{}", answer.1);
                }
                fake.release(true);
                for (status, answer) in calls.join_all().await {
                    assert_eq!(status, 200, "{answer}");
                }
                gateway.stop().await;
            }
        )*
    };
}

const JOB: &str = r#"{"kind":"batch","team":"c","run_ms":1,"resources":{"cpu":"1","memory":"1B"}}"#;

beyond_the_limit! {
    /// Guards against more requests in flight than the total limit, by many teams.
    all_places_taken: "max_in_flight: 3", ["a", "b", "c"]
        then "/v1/requests" &[], request("d") => "busy";
    /// Guards against jobs that don't count as requests in flight.
    job_counts: "max_in_flight: 2", ["a", "b"]
        then "/v1/jobs" &["idempotency-key: k"], JOB.to_owned() => "busy";
    /// Guards against a refusal that the sender doesn't receive because its body was not read.
    large_body: "max_in_flight: 2", ["a", "b"]
        then "/v1/requests" &[], "x".repeat(4_000) => "busy";
    /// Guards against bodies sent to unknown paths that exhaust the memory.
    unknown_path: "max_in_flight: 2", ["a", "b"] then "/v2/x" &[], request("c") => "busy";
    /// Guards against a team that takes the whole capacity.
    all_places_of_a_team_taken: "max_in_flight: 4", ["a", "a"]
        then "/v1/requests" &[], request("a") => "busy";
    /// Guards against a team over its limit that blocks other teams.
    other_team_has_room: "max_in_flight: 4", ["a", "a"]
        then "/v1/requests" &[], request("b") => "succeeded";
    /// Guards against a configured share that is ignored.
    whole_share: "max_in_flight: 4\nteam_in_flight_share: 100%", ["a", "a", "a"]
        then "/v1/requests" &[], request("a") => "succeeded";
    /// Guards against a share that is rounded down to no request at all.
    least_share: "max_in_flight: 10\nteam_in_flight_share: 1%", []
        then "/v1/requests" &[], request("a") => "succeeded";
}

/// Guards against permits that are not released after a response, a refusal or an aborted request.
#[tokio::test]
async fn places_are_freed() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let settings = "max_in_flight: 2\nteam_in_flight_share: 100%";
    let gateway = start_ready(&[&fake], settings).await;
    occupy(&gateway, &fake, &["a", "a"]).await.abort_all();
    // The gateway notices the aborted requests with a delay.
    while post(&gateway, "/v1/requests", &[], request("a")).await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..3 {
        let (status, answer) = post(&gateway, "/v1/requests", &[], request("a")).await;
        assert_eq!(status, 200, "{answer}");
        let (status, _) = post(&gateway, "/v1/requests", &[], "{".to_owned()).await;
        assert_eq!(status, 400);
    }
    fake.with(|state| state.calls.clear());
    let calls = occupy(&gateway, &fake, &["a", "a"]).await;
    assert_busy(&post(&gateway, "/v1/requests", &[], request("b")).await);
    fake.release(true);
    calls.join_all().await;
    let (status, answer) = post(&gateway, "/v1/requests", &[], request("b")).await;
    assert_eq!(status, 200, "{answer}");
    gateway.stop().await;
}

/// Guards against health checks and metrics that fail under overload.
#[tokio::test]
async fn operators_are_answered_during_a_flood() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let gateway = start_ready(&[&fake], "max_in_flight: 1").await;
    let calls = occupy(&gateway, &fake, &["a"]).await;
    assert_busy(&post(&gateway, "/v1/requests", &[], request("b")).await);
    for path in ["/healthz", "/readyz"] {
        let (status, _) = send(gateway.address(), "GET", path, &[], "").await;
        assert_eq!(status, 200, "{path}");
    }
    let (_, metrics) = send(gateway.address(), "GET", "/metrics", &[], "").await;
    assert_eq!(metrics["requests.overloaded"], 1, "{metrics}");
    let answer = send(gateway.address(), "GET", "/healthz", &[], "body").await;
    assert_busy(&answer);
    fake.release(true);
    calls.join_all().await;
    gateway.stop().await;
}

/// Guards against a race of concurrent requests that exceeds the limits.
#[tokio::test(flavor = "multi_thread")]
async fn bounds_hold_in_a_flood() {
    const TEAMS: [&str; 3] = ["a", "b", "c"];
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    fake.reply(&vec![Reply::Hold; 150]);
    let settings = "max_in_flight: 20\nteam_in_flight_share: 40%";
    let gateway = start_ready(&[&fake], settings).await;
    let mut calls = JoinSet::new();
    for team in TEAMS.iter().cycle().take(150) {
        let (address, body) = (gateway.address(), request(team));
        calls.spawn(async move { send(address, "POST", "/v1/requests", &[], body).await });
    }
    // Wait until every request is refused or held before any is released.
    let mut answers = Vec::new();
    while answers.len() + fake.calls().len() < 150 {
        let answer = tokio::time::timeout(Duration::from_millis(20), calls.join_next());
        if let Ok(Some(answer)) = answer.await {
            answers.push(answer.unwrap());
        }
    }
    answers.iter().for_each(assert_busy);
    fake.release(true);
    answers.clear();
    answers.extend(calls.join_all().await);
    for team in TEAMS {
        let taken = answers
            .iter()
            .filter(|(_, answer)| answer["answer"] == team);
        assert!(taken.count() <= 8, "team {team} took more than its share");
    }
    let max_held_calls = fake.with(|state| state.max_held_calls);
    assert!(
        (1..=20).contains(&max_held_calls),
        "{max_held_calls} at one time"
    );
    assert_eq!(answers.len(), max_held_calls);
    gateway.stop().await;
}
