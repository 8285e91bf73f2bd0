//! G2: no member ever runs in two places at once.

use std::time::Duration;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Endings, Load, answered, batch, check_jobs, gang,
};

process_cases! {
    g2_one_place_after_owner_is_killed => kill_owner();
    g2_one_place_after_owner_is_paused_past_its_leases => pause_owner();
    g2_one_place_after_all_owners_are_paused_past_task_leases => pause_all_owners();
}

/// Time after which the tasks of a shard stop that nobody renews.
const TASK_TTL: Duration = Duration::from_millis(2_500);
/// Longer than suspicion, worker leases and task leases together.
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

/// Jobs under way: those that must run at most once, and those that may start again.
struct Jobs {
    once: Load,
    restartable: Load,
}

/// Submits jobs that run longer than every lease. They leave room on all workers, so that a second start finds a place.
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

/// Fails if a member ran in two places, if one that must run at most once started twice, or if work that may start
/// again did not end well. Returns the endings of the others.
async fn check(cluster: &Cluster, jobs: Jobs) -> Result<Endings, BoxError> {
    let once = jobs.once.endings().await?;
    let restartable = jobs.restartable.endings().await?;
    cluster.check_workers().await?;
    check_jobs(cluster, &once).await?;
    let failed: Vec<_> = restartable
        .iter()
        .filter(|(_, e)| !e.is_answered())
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    Ok(once)
}

/// Guards against a successor that starts again what still runs for the dead owner.
async fn kill_owner() -> Result<(), BoxError> {
    let (mut cluster, caller) = start().await?;
    let jobs = submit(&caller);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].kill();
    // The successor keeps the tasks alive, so that every job ends as if nothing had happened.
    let once = check(&cluster, jobs).await?;
    assert_eq!(answered(&once), once.len(), "{once:?}");
    Ok(())
}

/// Guards against an owner that goes on with its old leases after a pause.
async fn pause_owner() -> Result<(), BoxError> {
    let (cluster, caller) = start().await?;
    let jobs = submit(&caller);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].pause()?;
    tokio::time::sleep(PAST_ALL_LEASES).await;
    cluster.schedulers[owner].resume()?;
    let once = check(&cluster, jobs).await?;
    assert_eq!(answered(&once), once.len(), "{once:?}");
    Ok(())
}

/// Guards against a restart of tasks that may still run, when the workers were without any owner for a while.
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
