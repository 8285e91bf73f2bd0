//! G8: an accepted policy is in force in every process within seconds and is never rolled back.

use std::time::Duration;

use lagoon_standin::fault::FaultMode;
use serde_json::Value;
use tokio::time::Instant;

use crate::harness::{BoxError, Caller, Cluster, ClusterPlan, Deduplication, eventually, policy};

process_cases! {
    g8_policy_is_in_force_in_every_process_in_time => change_with_store();
    g8_policy_reaches_a_process_without_the_store_by_its_peers => change_without_store();
    g8_policy_does_not_go_back_after_a_restart_with_an_old_peer => restart_with_old_peer();
}

/// Target time for a change to be in force in every process.
const TARGET: Duration = Duration::from_secs(5);
/// Limit for steps that the guarantee puts no bound on.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const UNKNOWN_TEAM: u64 = 1007;

/// Returns a policy with one more team.
fn changed_policy(version: u64) -> Value {
    let mut changed = policy(version);
    changed["teams"]["planners"] = changed["teams"]["settlers"].clone();
    changed
}

/// Guards against a process that keeps an old version.
async fn change_with_store() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    change_in_time(&cluster).await
}

/// Guards against a process that learns new versions only from the store.
async fn change_without_store() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    for name in ["malang-scheduler-0", "kediri-scheduler-1"] {
        disconnect_from_store(&cluster, name).await?;
    }
    change_in_time(&cluster).await
}

/// Makes the store unreachable for a process, including its current long poll.
async fn disconnect_from_store(cluster: &Cluster, process: &str) -> Result<(), BoxError> {
    let faults = cluster.platform.store_faults();
    faults
        .set_for_process(process, FaultMode::Unreachable)
        .await?;
    // A write ends the long polls of all processes; the next one of this process fails.
    cluster.platform.put_policy(&policy(1)).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// Changes the policy and fails if a process does not apply it within the target time.
async fn change_in_time(cluster: &Cluster) -> Result<(), BoxError> {
    for domain in ["malang", "kediri"] {
        let caller = cluster.caller(domain).with_team("planners");
        let refused = refusal_codes(&caller, 0).await?;
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
        let caller = cluster.caller(domain).with_team("planners");
        for gateway in 0..2 {
            let codes = refusal_codes(&caller, gateway).await?;
            assert!(
                codes.iter().all(|code| *code == 0),
                "{domain} {gateway}: {codes:?}"
            );
        }
    }
    Ok(())
}

/// Sends requests to all shards and returns the code of each refusal, zero for each success.
async fn refusal_codes(caller: &Caller, gateway: usize) -> Result<Vec<u64>, BoxError> {
    let mut codes = Vec::new();
    // Tickets are issued by all shards in turn.
    for _ in 0..4 {
        let ticket = caller.tickets(1).await?.remove(0);
        let dedup = Deduplication::Ticket(ticket);
        let response = caller.request(gateway, &dedup, "echo:planned").await?;
        codes.push(response.body["code"].as_u64().unwrap_or(0));
    }
    Ok(codes)
}

/// Guards against a restarted process that adopts an outdated version from a peer that was paused.
async fn restart_with_old_peer() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let old = cluster.schedulers[1].name.clone();
    disconnect_from_store(&cluster, &old).await?;
    cluster.schedulers[1].pause()?;
    cluster.platform.put_policy(&changed_policy(2)).await?;
    let first = &cluster.schedulers[0];
    let changed = || async { first.describe().await.filter(|(version, _)| *version == 2) };
    eventually("the policy has changed", WAIT_TIMEOUT, changed).await?;
    cluster.schedulers[0].kill();
    let faults = cluster.platform.store_faults();
    let restarted = &cluster.schedulers[0].name;
    faults
        .set_for_process(restarted, FaultMode::Unreachable)
        .await?;
    cluster.schedulers[0].start()?;
    cluster.schedulers[1].resume()?;
    check_no_rollback(&cluster, Duration::from_secs(3)).await?;
    cluster.platform.store_faults().clear().await?;
    cluster.wait_until_ready().await?;
    check_no_rollback(&cluster, Duration::from_secs(1)).await?;
    for daemon in &cluster.schedulers {
        let changed = || async { daemon.describe().await.filter(|(version, _)| *version == 2) };
        eventually("the policy is in force again", TARGET, changed).await?;
    }
    Ok(())
}

/// Fails if the restarted process reports the version before the change within `time`.
async fn check_no_rollback(cluster: &Cluster, time: Duration) -> Result<(), BoxError> {
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
