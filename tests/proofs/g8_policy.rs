//! G8: an accepted policy is in force everywhere within seconds and never goes back.

use std::time::Duration;

use lagoon_standin::fault::FaultMode;
use serde_json::Value;
use tokio::time::Instant;

use crate::harness::{BoxError, Caller, Cluster, ClusterPlan, Route, eventually, policy};

process_cases! {
    g8_policy_is_in_force_in_every_process_in_time => change_everywhere();
    g8_policy_reaches_a_process_without_the_store_by_its_peers => change_without_store();
    g8_policy_does_not_go_back_after_a_restart_with_an_old_peer => restart_with_old_peer();
}

/// Target for a change to be in force everywhere.
const TARGET: Duration = Duration::from_secs(5);
/// Wait that does not decide about a verdict.
const PATIENCE: Duration = Duration::from_secs(20);
const UNKNOWN_TEAM: u64 = 1007;

/// Returns a policy with one more team.
fn changed_policy(version: u64) -> Value {
    let mut changed = policy(version);
    changed["teams"]["planners"] = changed["teams"]["settlers"].clone();
    changed
}

/// Guards against a process that keeps an old version.
async fn change_everywhere() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    change_in_time(&cluster).await
}

/// Guards against a process that takes versions from the store only.
async fn change_without_store() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    for name in ["malang-scheduler-0", "kediri-scheduler-1"] {
        cut_off_from_store(&cluster, name).await?;
    }
    change_in_time(&cluster).await
}

/// Cuts a process off from the store, long polls that are under way included.
async fn cut_off_from_store(cluster: &Cluster, process: &str) -> Result<(), BoxError> {
    let faults = cluster.platform.store_faults();
    faults.set_for(process, FaultMode::Unreachable).await?;
    // A write ends the long polls of all processes; the next one of this process fails.
    cluster.platform.put_policy(&policy(1)).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// Changes the policy and fails if one process has not put it in force after the target time.
async fn change_in_time(cluster: &Cluster) -> Result<(), BoxError> {
    for domain in ["malang", "kediri"] {
        let caller = cluster.caller(domain).of_team("planners");
        let refused = requests(&caller, 0).await?;
        assert!(
            refused.iter().all(|code| *code == UNKNOWN_TEAM),
            "{refused:?}"
        );
    }
    cluster.platform.put_policy(&changed_policy(2)).await?;
    tokio::time::sleep(TARGET).await;
    for daemon in &cluster.schedulers {
        let described = daemon.describe().await;
        let version = described.map(|(version, _)| version);
        assert_eq!(version, Some(2), "{}", daemon.name);
    }
    for domain in ["malang", "kediri"] {
        let caller = cluster.caller(domain).of_team("planners");
        for gateway in 0..2 {
            let codes = requests(&caller, gateway).await?;
            assert!(
                codes.iter().all(|code| *code == 0),
                "{domain} {gateway}: {codes:?}"
            );
        }
    }
    Ok(())
}

/// Sends requests to all shards; returns the code of each refusal and zero for each answer.
async fn requests(caller: &Caller, gateway: usize) -> Result<Vec<u64>, BoxError> {
    let mut codes = Vec::new();
    // Tickets are issued by all shards in turn.
    for _ in 0..4 {
        let ticket = caller.tickets(1).await?.remove(0);
        let route = Route::Ticket(ticket);
        let answer = caller.request(gateway, &route, "echo:planned").await?;
        codes.push(answer.body["code"].as_u64().unwrap_or(0));
    }
    Ok(codes)
}

/// Guards against a process that has lost its memory and takes an outdated version from a peer that was paused.
async fn restart_with_old_peer() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let old = cluster.schedulers[1].name.clone();
    cut_off_from_store(&cluster, &old).await?;
    cluster.schedulers[1].pause()?;
    cluster.platform.put_policy(&changed_policy(2)).await?;
    let first = &cluster.schedulers[0];
    let changed = || async { first.describe().await.filter(|(version, _)| *version == 2) };
    eventually("the policy has changed", PATIENCE, changed).await?;
    cluster.schedulers[0].kill();
    let faults = cluster.platform.store_faults();
    let restarted = &cluster.schedulers[0].name;
    faults.set_for(restarted, FaultMode::Unreachable).await?;
    cluster.schedulers[0].start()?;
    cluster.schedulers[1].resume()?;
    watch(&cluster, Duration::from_secs(3)).await?;
    cluster.platform.store_faults().clear().await?;
    cluster.ready().await?;
    watch(&cluster, Duration::from_secs(1)).await?;
    for daemon in &cluster.schedulers {
        let changed = || async { daemon.describe().await.filter(|(version, _)| *version == 2) };
        eventually("the policy is in force again", TARGET, changed).await?;
    }
    Ok(())
}

/// Fails if the restarted process shows the version before the change within `time`.
async fn watch(cluster: &Cluster, time: Duration) -> Result<(), BoxError> {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if let Some((1, shards)) = cluster.schedulers[0].describe().await {
            let text = format!("version 1 is in force again, with {shards} shards");
            return Err(text.into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
