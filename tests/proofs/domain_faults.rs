//! A failure domain without the store and without its peers, and workers that fail everything.

use std::time::Duration;

use lagoon_standin::fault::FaultMode;

use crate::harness::{
    BoxError, Cluster, ClusterPlan, Endings, Load, Route, answered, batch, check_jobs,
    check_requests, gang, policy,
};

process_cases! {
    failure_domain_serves_while_it_is_cut_off => cut_domain_off();
    workers_that_fail_everything_get_no_more_work => fail_workers();
}

const CUT: Duration = Duration::from_millis(4_000);

/// Guards against a failure domain that needs another one, or the store, for its own tickets and running work.
async fn cut_domain_off() -> Result<(), BoxError> {
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
    let far = || {
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
        faults.set_for(&daemon.name, FaultMode::Unreachable).await?;
    }
    // No process of the other failure domain answers, which to this one is the same as a broken network.
    far().try_for_each(|daemon| daemon.pause())?;
    let mut requests = Load::default();
    for (n, ticket) in tickets.into_iter().enumerate() {
        let payload = format!("sleep:300;echo:cut off {n}");
        requests.request(&caller, n, Route::Ticket(ticket), payload);
    }
    let requests = requests.endings().await?;
    tokio::time::sleep(CUT).await;
    cluster.platform.store_faults().clear().await?;
    far().try_for_each(|daemon| daemon.resume())?;
    assert_eq!(answered(&requests), requests.len(), "{requests:?}");
    check_requests(&cluster, &requests).await?;
    let jobs = jobs.endings().await?;
    assert_eq!(answered(&jobs), jobs.len(), "{jobs:?}");
    check_jobs(&cluster, &jobs).await?;
    cluster.check_workers().await
}

/// Guards against a worker that attracts all work because it is always free.
async fn fail_workers() -> Result<(), BoxError> {
    let mut policy = policy(1);
    policy["health"]["rested_share_cap_percent"] = 100.into();
    let cluster = Cluster::start_with(&ClusterPlan::one_domain(), &policy).await?;
    for worker in ["malang-w0", "malang-w1"] {
        cluster.platform.change_worker(worker, "fail").await?;
    }
    let first = send_wave(&cluster, 0).await?;
    assert!(answered(&first) < first.len(), "no worker failed anything");
    for wave in 1..3 {
        let endings = send_wave(&cluster, wave).await?;
        assert_eq!(answered(&endings), endings.len(), "{endings:?}");
    }
    cluster.check_workers().await
}

/// Submits more jobs than the healthy workers hold at a time, and waits for their ends.
async fn send_wave(cluster: &Cluster, wave: usize) -> Result<Endings, BoxError> {
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
    load.endings().await
}
