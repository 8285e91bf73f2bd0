use hyper::Method;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::session::session_client::{SessionClient, expect_value};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the session; returns an error at the first unexpected response.
pub(crate) async fn run_session(cluster: &Cluster) -> Result<(), BoxError> {
    let client = SessionClient::new(cluster.gateways(), cluster.admin());
    run_request(&client).await?;
    run_batch(&client).await?;
    run_gang(&client).await?;
    run_refusal(&client).await?;
    run_operator(&client).await?;
    match cluster.violations() {
        0 => {
            println!("The session completed as expected.");
            Ok(())
        }
        count => Err(format!(
            "the workers reported {count} violations: a task over capacity or run twice"
        )
        .into()),
    }
}

/// Sends a request with a ticket, and repeats it through the other gateway.
async fn run_request(client: &SessionClient) -> Result<(), BoxError> {
    let body = json!({"service": "planner", "count": 1});
    let (status, tickets) = client
        .send_request(0, Method::POST, "/v1/tickets", None, Some(body))
        .await?;
    expect_value("status of the tickets", &json!(status), &json!(200))?;
    let request = json!({
        "service": "planner",
        "team": "turf",
        "ticket": tickets["tickets"][0],
        "payload": "echo:round 7 is free",
    });
    for gateway in 0..2 {
        let body = Some(request.clone());
        let (status, answer) = client
            .send_request(gateway, Method::POST, "/v1/requests", None, body)
            .await?;
        expect_value("status of the request", &json!(status), &json!(200))?;
        expect_value("answer", &answer["answer"], &json!("round 7 is free"))?;
    }
    Ok(())
}

/// Submits a batch run twice with the same idempotency key.
async fn run_batch(client: &SessionClient) -> Result<(), BoxError> {
    let job = json!({
        "kind": "batch",
        "team": "turf",
        "resources": {"cpu": "2", "memory": "1GiB"},
        "run_ms": 200,
        "payload": "echo:routes are planned",
    });
    let key = Some("routes-2026-12-04");
    let (status, first) = client
        .send_request(0, Method::POST, "/v1/jobs", key, Some(job.clone()))
        .await?;
    expect_value("status of the job", &json!(status), &json!(200))?;
    let (_, second) = client
        .send_request(1, Method::POST, "/v1/jobs", key, Some(job))
        .await?;
    expect_value("work of the repeat", &second["work"], &first["work"])?;
    let ended = client.wait_for_end(1, text(&first["work"])?).await?;
    expect_success(&ended, "routes are planned")
}

/// Submits a gang job of four tasks that are spread over the racks.
async fn run_gang(client: &SessionClient) -> Result<(), BoxError> {
    let job = json!({
        "kind": "gang",
        "team": "turf",
        "members": 4,
        "resources": {"cpu": "4", "memory": "2GiB"},
        "placement": {"spread": "racks"},
        "run_ms": 200,
        "payload": "echo:part",
    });
    let key = Some("season-plan-7");
    let (status, accepted) = client
        .send_request(0, Method::POST, "/v1/jobs", key, Some(job))
        .await?;
    expect_value("status of the gang job", &json!(status), &json!(200))?;
    let ended = client.wait_for_end(0, text(&accepted["work"])?).await?;
    expect_success(&ended, "part\npart\npart\npart")
}

/// Submits a job that is larger than any host.
async fn run_refusal(client: &SessionClient) -> Result<(), BoxError> {
    let job = json!({
        "kind": "batch",
        "team": "turf",
        "resources": {"cpu": "64", "memory": "1GiB"},
        "run_ms": 1000,
    });
    let (_, refused) = client
        .send_request(0, Method::POST, "/v1/jobs", Some("too-large"), Some(job))
        .await?;
    expect_value("code of the refusal", &refused["code"], &json!(2004))?;
    expect_value("class of the refusal", &refused["class"], &json!("not_run"))
}

/// Runs an operator's query, then previews and applies a change.
async fn run_operator(client: &SessionClient) -> Result<(), BoxError> {
    let shards = json!({"text": "show shards where state = serving count by owner"});
    client.send_operator_request("/v1/query", shards).await?;
    let text = "drain host cluj-h0";
    let preview = client
        .send_operator_request("/v1/preview", json!({ "text": text }))
        .await?;
    let change = json!({
        "text": text,
        "confirmation": preview["confirmation"],
        "command_id": "drain-1",
    });
    let applied = client.send_operator_request("/v1/apply", change).await?;
    expect_value("record of the change", &applied["recorded"], &json!(true))
}

fn expect_success(ended: &Value, answer: &str) -> Result<(), BoxError> {
    let result = &ended["result"];
    expect_value("outcome", &result["outcome"], &json!("succeeded"))?;
    expect_value("answer of the job", &result["answer"], &json!(answer))
}

fn text(value: &Value) -> Result<&str, BoxError> {
    value
        .as_str()
        .ok_or_else(|| format!("{value} is not text").into())
}
