//! A failure domain that is partitioned from the store and its peers, and workers on which all tasks fail.

use std::time::Duration;

use lagoon_standin::fault::FaultMode;

use crate::harness::{
    BoxError, Cluster, ClusterPlan, Deduplication, Load, Outcomes, batch, check_jobs,
    check_requests, count_succeeded, gang, policy,
};

process_cases! {
    failure_domain_serves_while_it_is_cut_off => partition_domain();
    workers_that_fail_everything_get_no_more_work => fail_workers();
}

const PARTITION_TIME: Duration = Duration::from_millis(4_000);

/// Guards against a failure domain that needs another one, or the store, for its own tickets and running work.
async fn partition_domain() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    let mut jobs = Load::default();
    for domain in ["malang", "kediri"] {
        for n in 0..12 {
            let job = gang(2, 2, 5_000, "echo:part");
            jobs.job(&cluster.caller(domain), n, format!("{domain}-{n}"), job);
        }
    }
    let caller = cluster.caller("malang");
    let tickets = caller.tickets(60).await?;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let remote_daemons = || {
        cluster
            .schedulers
            .iter()
            .filter(|daemon| daemon.domain == "kediri")
    };
    for daemon in cluster
        .schedulers
        .iter()
        .filter(|daemon| daemon.domain == "malang")
    {
        let faults = cluster.platform.store_faults();
        faults
            .set_for_process(&daemon.name, FaultMode::Unreachable)
            .await?;
    }
    // Pausing all processes of the other failure domain has the same effect on this one as a network partition.
    remote_daemons().try_for_each(|daemon| daemon.pause())?;
    let mut requests = Load::default();
    for (n, ticket) in tickets.into_iter().enumerate() {
        let payload = format!("sleep:300;echo:cut off {n}");
        requests.request(&caller, n, Deduplication::Ticket(ticket), payload);
    }
    let requests = requests.outcomes().await?;
    tokio::time::sleep(PARTITION_TIME).await;
    cluster.platform.store_faults().clear().await?;
    remote_daemons().try_for_each(|daemon| daemon.resume())?;
    assert_eq!(count_succeeded(&requests), requests.len(), "{requests:?}");
    check_requests(&cluster, &requests).await?;
    let jobs = jobs.outcomes().await?;
    assert_eq!(count_succeeded(&jobs), jobs.len(), "{jobs:?}");
    check_jobs(&cluster, &jobs).await?;
    cluster.check_violations().await
}

/// Guards against a worker that attracts all work because its tasks fail at once and leave it free.
async fn fail_workers() -> Result<(), BoxError> {
    let mut policy = policy(1);
    policy["health"]["rested_share_cap_percent"] = 100.into();
    let cluster = Cluster::start_with_policy(&ClusterPlan::one_domain(), &policy).await?;
    for worker in ["malang-w0", "malang-w1"] {
        cluster.platform.change_worker(worker, "fail").await?;
    }
    let first = submit_wave(&cluster, 0).await?;
    assert!(
        count_succeeded(&first) < first.len(),
        "expected tasks to fail on the faulty workers"
    );
    for wave in 1..3 {
        let outcomes = submit_wave(&cluster, wave).await?;
        assert_eq!(count_succeeded(&outcomes), outcomes.len(), "{outcomes:?}");
    }
    cluster.check_violations().await
}

/// Submits more jobs than the healthy workers can hold at a time, and waits until they end.
async fn submit_wave(cluster: &Cluster, wave: usize) -> Result<Outcomes, BoxError> {
    let caller = cluster.caller("malang");
    let mut load = Load::default();
    for n in 0..80 {
        load.job(
            &caller,
            n,
            format!("wave-{wave}-{n}"),
            batch(2, 300, "echo:run"),
        );
    }
    load.outcomes().await
}
