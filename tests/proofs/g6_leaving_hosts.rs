//! G6: a host that leaves receives no new work after a few seconds.

use std::time::Duration;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Counts, Load, Route, answered, batch,
};

process_cases! {
    g6_leaving_host_gets_no_new_work => leave_under_load();
}

/// The time in which a leaving host may still get work.
const GRACE: Duration = Duration::from_secs(5);
const HOST: &str = "malang-h0";
const WORKER: &str = "malang-w0";
const EXECUTOR: &str = "malang-e0";

/// Guards against a shard that goes on with a host after it was marked, for tasks or for requests.
async fn leave_under_load() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let before = send(&caller, 0).await?;
    assert!(answered_all(&before), "{before:?}");
    let (starts, runs) = counts(&cluster).await?;
    assert!(
        starts > 0 && runs > 0,
        "the host had no work to begin with: {starts}, {runs}"
    );
    cluster.platform.mark_leaving(HOST).await?;
    tokio::time::sleep(GRACE).await;
    let marked = counts(&cluster).await?;
    let after = send(&caller, 1).await?;
    assert!(answered_all(&after), "{after:?}");
    assert_eq!(
        counts(&cluster).await?,
        marked,
        "the leaving host got new work"
    );
    cluster.check_workers().await
}

/// Sends enough work to fill every host, and waits for its end.
async fn send(caller: &Caller, round: usize) -> Result<crate::harness::Endings, BoxError> {
    let mut load = Load::default();
    for (n, ticket) in caller.tickets(120).await?.into_iter().enumerate() {
        let payload = format!("sleep:300;echo:g6 {round} {n}");
        load.request(caller, n, Route::Ticket(ticket), payload);
    }
    for n in 0..60 {
        let job = batch(4, 300, "echo:run");
        load.job(caller, n, format!("g6-{round}-{n}"), job);
    }
    load.endings().await
}

fn answered_all(endings: &crate::harness::Endings) -> bool {
    answered(endings) == endings.len()
}

/// Returns the starts on the worker of the host and the runs on its executor.
async fn counts(cluster: &Cluster) -> Result<(u32, u32), BoxError> {
    let starts = cluster.platform.starts().await?;
    let runs = cluster.platform.payloads().await?;
    let of = |counts: &Counts, name| counts.get(name).map_or(0, |counts| counts.values().sum());
    Ok((of(&starts, WORKER), of(&runs, EXECUTOR)))
}
