use hyper::Method;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::session::player::{Player, expect};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Plays the session and fails at the first wrong answer.
pub(crate) async fn play(cluster: &Cluster) -> Result<(), BoxError> {
    let player = Player::new(cluster.gateways(), cluster.admin());
    play_request(&player).await?;
    play_batch(&player).await?;
    play_gang(&player).await?;
    play_refusal(&player).await?;
    play_operator(&player).await?;
    match cluster.violations() {
        0 => {
            println!("The session went as expected.");
            Ok(())
        }
        count => Err(format!("the workers saw {count} violations of their capacity").into()),
    }
}

/// A request with a ticket, and its repeat by way of the other gateway.
async fn play_request(player: &Player) -> Result<(), BoxError> {
    let body = json!({"service": "planner", "count": 1});
    let (status, tickets) = player
        .call(0, Method::POST, "/v1/tickets", None, Some(body))
        .await?;
    expect("status of the tickets", &json!(status), &json!(200))?;
    let request = json!({
        "service": "planner",
        "team": "turf",
        "ticket": tickets["tickets"][0],
        "payload": "echo:round 7 is free",
    });
    for gateway in 0..2 {
        let body = Some(request.clone());
        let (status, answer) = player
            .call(gateway, Method::POST, "/v1/requests", None, body)
            .await?;
        expect("status of the request", &json!(status), &json!(200))?;
        expect("answer", &answer["answer"], &json!("round 7 is free"))?;
    }
    Ok(())
}

/// A batch run, submitted twice with one key.
async fn play_batch(player: &Player) -> Result<(), BoxError> {
    let job = json!({
        "kind": "batch",
        "team": "turf",
        "resources": {"cpu": "2", "memory": "1GiB"},
        "run_ms": 200,
        "payload": "echo:routes are planned",
    });
    let key = Some("routes-2026-12-04");
    let (status, first) = player
        .call(0, Method::POST, "/v1/jobs", key, Some(job.clone()))
        .await?;
    expect("status of the job", &json!(status), &json!(200))?;
    let (_, second) = player
        .call(1, Method::POST, "/v1/jobs", key, Some(job))
        .await?;
    expect("work of the repeat", &second["work"], &first["work"])?;
    let ended = player.wait_for_end(1, text(&first["work"])?).await?;
    expect_success(&ended, "routes are planned")
}

/// A gang job of four tasks over the racks.
async fn play_gang(player: &Player) -> Result<(), BoxError> {
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
    let (status, accepted) = player
        .call(0, Method::POST, "/v1/jobs", key, Some(job))
        .await?;
    expect("status of the gang job", &json!(status), &json!(200))?;
    let ended = player.wait_for_end(0, text(&accepted["work"])?).await?;
    expect_success(&ended, "part\npart\npart\npart")
}

/// A job that no host could ever hold.
async fn play_refusal(player: &Player) -> Result<(), BoxError> {
    let job = json!({
        "kind": "batch",
        "team": "turf",
        "resources": {"cpu": "64", "memory": "1GiB"},
        "run_ms": 1000,
    });
    let (_, refused) = player
        .call(0, Method::POST, "/v1/jobs", Some("too-large"), Some(job))
        .await?;
    expect("code of the refusal", &refused["code"], &json!(2004))?;
    expect("class of the refusal", &refused["class"], &json!("not_run"))
}

/// An operator's query and a change of the policy: preview first, then its confirmation.
async fn play_operator(player: &Player) -> Result<(), BoxError> {
    let shards = json!({"text": "show shards where state = serving count by owner"});
    player.operate("/v1/query", shards).await?;
    let text = "drain host cluj-h0";
    let preview = player
        .operate("/v1/preview", json!({ "text": text }))
        .await?;
    let change = json!({
        "text": text,
        "confirmation": preview["confirmation"],
        "command_id": "drain-1",
    });
    let applied = player.operate("/v1/apply", change).await?;
    expect("record of the change", &applied["recorded"], &json!(true))
}

fn expect_success(ended: &Value, answer: &str) -> Result<(), BoxError> {
    let result = &ended["result"];
    expect("outcome", &result["outcome"], &json!("succeeded"))?;
    expect("answer of the job", &result["answer"], &json!(answer))
}

fn text(value: &Value) -> Result<&str, BoxError> {
    value
        .as_str()
        .ok_or_else(|| format!("{value} is not text").into())
}
