//! Forwarding of jobs and tickets to schedulers.

use lagoon_core::work::{Outcome, WorkSpec};
use lagoon_wire::{convert, v1};
use serde_json::json;

use crate::fake_scheduler::FakeScheduler;
use crate::harness::{send, start_ready};

const JOB: &str = r#"{"kind":"gang","team":"a","members":3,"run_ms":1000,
    "resources":{"cpu":"500m","memory":"2GiB","accelerators":1}}"#;

/// Returns an ended job as a scheduler reports it.
pub(crate) fn job(work: &str, team: &str, accepted_at: u64) -> v1::WorkStatus {
    let spec = json!({"kind": "batch", "team": team, "members": 1, "run_time": 1,
        "resources": {"cpu": 1, "memory": 1}, "repeatability": "restartable"});
    let spec: WorkSpec = serde_json::from_value(spec).unwrap();
    v1::WorkStatus {
        work: work.to_owned(),
        state: "ended".to_owned(),
        outcome: Some(convert::outcome_to_wire(&Outcome::Succeeded(
            "42".to_owned(),
        ))),
        spec: Some(convert::spec_to_wire(&spec)),
        accepted_at,
        ..Default::default()
    }
}

/// Guards against resources that are altered by the conversions, and against an idempotency key that is not forwarded.
#[tokio::test]
async fn job_round_trip() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let gateway = start_ready(&[&fake], "").await;
    let headers = ["idempotency-key: k1"];
    let (status, answer) = send(gateway.address(), "POST", "/v1/jobs", &headers, JOB).await;
    assert_eq!(
        (status, &answer["work"]),
        (200, &json!("w:cluj:0:1:1")),
        "{answer}"
    );
    let resources = json!({"cpu": "500m", "memory": "2GiB", "accelerators": 1});
    assert_eq!(
        (&answer["resources"], &answer["members"]),
        (&resources, &json!(3))
    );
    assert_eq!(fake.calls(), ["k1"]);
    gateway.stop().await;
}

/// Guards against tickets of a shard that is not served, and against a ticket that can't be confirmed.
#[tokio::test]
async fn ticket_round_trip() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let gateway = start_ready(&[&fake], "").await;
    let body = r#"{"service":"settle","count":2}"#;
    let (_, answer) = send(gateway.address(), "POST", "/v1/tickets", &[], body).await;
    assert_eq!(answer, json!({"tickets": ["t:cluj:0:1:0", "t:cluj:0:1:1"]}));
    let path = "/v1/tickets/t:cluj:0:1:0";
    let (status, _) = send(gateway.address(), "DELETE", path, &[], "").await;
    assert_eq!(status, 200);
    gateway.stop().await;
}

/// Guards against a list that doesn't name the shards that did not answer, and against a list sorted by arrival of the
/// responses.
#[tokio::test]
async fn list_is_merged_and_tells_what_is_missing() {
    let (first, second) = (FakeScheduler::start("s1"), FakeScheduler::start("s2"));
    first.claim("cluj:0", 1);
    second.claim("cluj:1", 1);
    first.with(|state| state.jobs = vec![job("w:cluj:0:1:1", "a", 1), job("w:cluj:0:1:2", "a", 3)]);
    second.with(|state| state.jobs = vec![job("w:cluj:1:1:1", "b", 2)]);
    let gateway = start_ready(&[&first, &second], "shards: 3").await;
    let (_, answer) = send(gateway.address(), "GET", "/v1/jobs", &[], "").await;
    let works: Vec<_> = answer["jobs"]
        .as_array()
        .unwrap()
        .iter()
        .map(|job| &job["work"])
        .collect();
    assert_eq!(works, ["w:cluj:0:1:2", "w:cluj:1:1:1", "w:cluj:0:1:1"]);
    assert_eq!(answer["incomplete"], json!(["cluj:2"]));
    assert_eq!(
        answer["jobs"][0]["result"],
        json!({"outcome": "succeeded", "answer": "42"})
    );
    let (_, answer) = send(gateway.address(), "GET", "/v1/jobs?limit=1&team=a", &[], "").await;
    assert_eq!(
        (
            answer["jobs"].as_array().unwrap().len(),
            &answer["truncated"]
        ),
        (1, &json!(true))
    );
    gateway.stop().await;
}
