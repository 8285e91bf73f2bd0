//! G6: a host that is marked as leaving receives no new work after a few seconds.

use std::time::Duration;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Counts, Deduplication, Load, batch, count_succeeded,
};

process_cases! {
    g6_leaving_host_gets_no_new_work => mark_leaving_under_load();
}

/// Time after the mark in which the host may still receive work.
const GRACE_PERIOD: Duration = Duration::from_secs(5);
const HOST: &str = "malang-h0";
const WORKER: &str = "malang-w0";
const EXECUTOR: &str = "malang-e0";

/// Guards against a shard that still places tasks or sends requests to a host after it was marked.
async fn mark_leaving_under_load() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let before = run_wave(&caller, 0).await?;
    assert!(all_succeeded(&before), "{before:?}");
    let (starts, runs) = counts(&cluster).await?;
    assert!(
        starts > 0 && runs > 0,
        "expected work on the host before it leaves: {starts} starts, {runs} runs"
    );
    cluster.platform.mark_leaving(HOST).await?;
    tokio::time::sleep(GRACE_PERIOD).await;
    let marked = counts(&cluster).await?;
    let after = run_wave(&caller, 1).await?;
    assert!(all_succeeded(&after), "{after:?}");
    assert_eq!(
        counts(&cluster).await?,
        marked,
        "the leaving host received new work"
    );
    cluster.check_violations().await
}

/// Sends enough work to fill every host, and waits until it ends.
async fn run_wave(caller: &Caller, round: usize) -> Result<crate::harness::Outcomes, BoxError> {
    let mut load = Load::default();
    for (n, ticket) in caller.tickets(120).await?.into_iter().enumerate() {
        let payload = format!("sleep:300;echo:g6 {round} {n}");
        load.request(caller, n, Deduplication::Ticket(ticket), payload);
    }
    for n in 0..60 {
        let job = batch(4, 300, "echo:run");
        load.job(caller, n, format!("g6-{round}-{n}"), job);
    }
    load.outcomes().await
}

fn all_succeeded(outcomes: &crate::harness::Outcomes) -> bool {
    count_succeeded(outcomes) == outcomes.len()
}

/// Returns the numbers of starts on the worker and of runs on the executor of the host.
async fn counts(cluster: &Cluster) -> Result<(u32, u32), BoxError> {
    let starts = cluster.platform.starts().await?;
    let runs = cluster.platform.payloads().await?;
    let of = |counts: &Counts, name| counts.get(name).map_or(0, |counts| counts.values().sum());
    Ok((of(&starts, WORKER), of(&runs, EXECUTOR)))
}
