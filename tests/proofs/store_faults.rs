//! Outages of the store that last longer than every lease, with jobs submitted before and during the outage.

use std::time::Duration;

use lagoon_core::unit::Millis;
use lagoon_standin::fault::FaultMode;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Deduplication, Load, batch, check_jobs,
    check_no_unaccepted, check_requests, count_succeeded, gang,
};

process_cases! {
    store_is_down_past_every_lease => fail_store(FaultMode::Unreachable);
    store_refuses_past_every_lease => fail_store(FaultMode::Refuse);
    store_is_slower_than_its_callers_wait => fail_store(FaultMode::Delay(Millis::new(1_300)));
    store_loses_answers_after_the_effect => fail_store(FaultMode::DropAnswer);
    store_loses_answers_while_an_owner_is_killed => drop_responses_and_kill_owner();
    store_is_down_while_a_worker_crashes => fail_store_and_worker();
}

/// Longer than the suspect timeout, the worker lease and the task lease together.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Jobs submitted before and during the fault.
struct Work {
    old_jobs: Load,
    new_jobs: Load,
}

async fn start() -> Result<(Cluster, Caller), BoxError> {
    let plan = ClusterPlan {
        task_ttl_ms: 2_500,
        ..ClusterPlan::one_domain()
    };
    let cluster = Cluster::start(&plan).await?;
    let caller = cluster.caller("malang");
    Ok((cluster, caller))
}

/// Submits jobs that run until after the fault, and waits for their submission.
async fn submit_old(caller: &Caller) -> Load {
    let mut old_jobs = Load::default();
    for n in 0..16 {
        let job = match n % 4 {
            0 => gang(2, 2, 5_500, "echo:part"),
            _ => batch(2, 5_500, "echo:run"),
        };
        old_jobs.job(caller, n, format!("old-{n}"), job);
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    old_jobs
}

fn submit_new(caller: &Caller) -> Load {
    let mut new_jobs = Load::default();
    for n in 0..16 {
        new_jobs.job(caller, n, format!("new-{n}"), batch(2, 200, "echo:run"));
    }
    new_jobs
}

/// Checks all jobs and returns how many old and new ones succeeded.
async fn check(cluster: &Cluster, work: Work) -> Result<(usize, usize), BoxError> {
    let old = work.old_jobs.outcomes().await?;
    let new = work.new_jobs.outcomes().await?;
    check_jobs(cluster, &old).await?;
    check_jobs(cluster, &new).await?;
    check_no_unaccepted(cluster, &[&old, &new]).await?;
    cluster.check_violations().await?;
    Ok((count_succeeded(&old), count_succeeded(&new)))
}

/// Guards against leases or requests that depend on the store, and against commits that are lost or repeated.
async fn fail_store(mode: FaultMode) -> Result<(), BoxError> {
    let (cluster, caller) = start().await?;
    let tickets = caller.tickets(40).await?;
    let old_jobs = submit_old(&caller).await;
    let faults = cluster.platform.store_faults();
    faults.set(mode).await?;
    let new_jobs = submit_new(&caller);
    let mut requests = Load::default();
    for (n, ticket) in tickets.into_iter().enumerate() {
        let payload = format!("sleep:200;echo:request {n}");
        requests.request(&caller, n, Deduplication::Ticket(ticket), payload);
    }
    // Requests with tickets must succeed while the store still fails.
    let requests = requests.outcomes().await?;
    assert_eq!(count_succeeded(&requests), requests.len(), "{requests:?}");
    check_requests(&cluster, &requests).await?;
    tokio::time::sleep(OUTAGE).await;
    faults.clear().await?;
    let (old, _) = check(&cluster, Work { old_jobs, new_jobs }).await?;
    assert_eq!(
        old, 16,
        "expected all 16 jobs from before the fault to succeed"
    );
    let again = caller
        .submit_with_retries(0, "afterwards", &batch(1, 100, "echo:run"))
        .await?;
    assert_eq!(again.status, 200, "{again:?}");
    Ok(())
}

/// Guards against a new owner that misses writes that the store applied without a response to the killed owner.
async fn drop_responses_and_kill_owner() -> Result<(), BoxError> {
    let (mut cluster, caller) = start().await?;
    let old_jobs = submit_old(&caller).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster
        .platform
        .store_faults()
        .set(FaultMode::DropAnswer)
        .await?;
    let new_jobs = submit_new(&caller);
    tokio::time::sleep(Duration::from_millis(800)).await;
    cluster.schedulers[owner].kill();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    cluster.platform.store_faults().clear().await?;
    check(&cluster, Work { old_jobs, new_jobs }).await.map(drop)
}

/// Guards against tasks of a lost worker that are restarted, or refused as `not_run`, while the store can't record it.
async fn fail_store_and_worker() -> Result<(), BoxError> {
    let (cluster, caller) = start().await?;
    let old_jobs = submit_old(&caller).await;
    let platform = &cluster.platform;
    platform.store_faults().set(FaultMode::Unreachable).await?;
    platform.change_worker("malang-w0", "crash").await?;
    platform
        .worker_faults("malang-w1")?
        .set(FaultMode::Freeze)
        .await?;
    let new_jobs = submit_new(&caller);
    tokio::time::sleep(OUTAGE).await;
    platform.worker_faults("malang-w1")?.clear().await?;
    platform.change_worker("malang-w0", "restart").await?;
    platform.store_faults().clear().await?;
    check(&cluster, Work { old_jobs, new_jobs }).await.map(drop)
}
