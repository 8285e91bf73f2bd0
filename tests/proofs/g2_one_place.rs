//! G2: no task ever runs in two places at once.

use std::time::Duration;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Load, Outcomes, batch, check_jobs, count_succeeded,
    gang,
};

process_cases! {
    g2_one_place_after_owner_is_killed => kill_owner();
    g2_one_place_after_owner_is_paused_past_its_leases => pause_owner();
    g2_one_place_after_all_owners_are_paused_past_task_leases => pause_all_owners();
}

/// Task lease: tasks stop when it has not been renewed for this time.
const TASK_TTL: Duration = Duration::from_millis(2_500);
/// Longer than the suspect timeout, the worker lease and the task lease together.
const PAST_ALL_LEASES: Duration = Duration::from_millis(5_500);

async fn start() -> Result<(Cluster, Caller), BoxError> {
    let plan = ClusterPlan {
        task_ttl_ms: TASK_TTL.as_millis() as u64,
        ..ClusterPlan::one_domain()
    };
    let cluster = Cluster::start(&plan).await?;
    let caller = cluster.caller("malang");
    Ok((cluster, caller))
}

/// Jobs in progress, by repeatability.
struct Jobs {
    once: Load,
    restartable: Load,
}

/// Submits jobs that run longer than every lease and leave capacity free on all workers, so that a second start would
/// be possible.
fn submit(caller: &Caller) -> Jobs {
    let (mut once, mut restartable) = (Load::default(), Load::default());
    for n in 0..24 {
        let mut job = match n % 4 {
            0 => gang(2, 2, 6_500, "echo:part"),
            _ => batch(2, 6_500, "echo:run"),
        };
        let key = format!("g2-{n}");
        if n % 3 == 0 {
            job["repeatability"] = "restartable".into();
            restartable.job(caller, n, key, job);
        } else {
            once.job(caller, n, key, job);
        }
    }
    Jobs { once, restartable }
}

/// Fails if a task ran in two places, if an at-most-once task started twice, or if a restartable job did not succeed.
/// Returns the outcomes of the at-most-once jobs.
async fn check(cluster: &Cluster, jobs: Jobs) -> Result<Outcomes, BoxError> {
    let once = jobs.once.outcomes().await?;
    let restartable = jobs.restartable.outcomes().await?;
    cluster.check_violations().await?;
    check_jobs(cluster, &once).await?;
    let failed: Vec<_> = restartable
        .iter()
        .filter(|(_, e)| !e.is_succeeded())
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    Ok(once)
}

/// Guards against a new owner that starts tasks again that still run for the killed owner.
async fn kill_owner() -> Result<(), BoxError> {
    let (mut cluster, caller) = start().await?;
    let jobs = submit(&caller);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].kill();
    // The new owner renews the leases of the running tasks, so every job succeeds.
    let once = check(&cluster, jobs).await?;
    assert_eq!(count_succeeded(&once), once.len(), "{once:?}");
    Ok(())
}

/// Guards against an owner that uses its expired leases after a pause.
async fn pause_owner() -> Result<(), BoxError> {
    let (cluster, caller) = start().await?;
    let jobs = submit(&caller);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].pause()?;
    tokio::time::sleep(PAST_ALL_LEASES).await;
    cluster.schedulers[owner].resume()?;
    let once = check(&cluster, jobs).await?;
    assert_eq!(count_succeeded(&once), once.len(), "{once:?}");
    Ok(())
}

/// Guards against restarting tasks that may still run after the workers had no owner for a while.
async fn pause_all_owners() -> Result<(), BoxError> {
    let (cluster, caller) = start().await?;
    let jobs = submit(&caller);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for daemon in &cluster.schedulers {
        daemon.pause()?;
    }
    tokio::time::sleep(PAST_ALL_LEASES).await;
    for daemon in &cluster.schedulers {
        daemon.resume()?;
    }
    check(&cluster, jobs).await.map(drop)
}
