//! G1: no host is ever assigned more than its capacity.

use std::time::Duration;

use crate::harness::{
    BoxError, Cluster, ClusterPlan, Load, batch, check_jobs, count_succeeded, gang,
};

process_cases! {
    g1_no_overload_while_schedulers_are_killed => kill_schedulers_under_load();
}

/// Guards against a new owner that places work on a worker before it knows what the earlier owner started there.
async fn kill_schedulers_under_load() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let mut load = Load::default();
    for n in 0..150_usize {
        // Keeps the workers full, with tasks that run longer than a takeover, so that the new owner finds them running.
        let job = match n % 6 {
            0 => gang(2, 6, 2_500, "echo:part"),
            _ => batch(1 + (n % 5) as u32, 1_500 + 250 * (n % 9) as u64, "echo:run"),
        };
        load.job(&caller, n, format!("g1-{n}"), job);
    }
    for round in 0..3 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let down = Duration::from_millis(1_500);
        cluster.restart_scheduler(round % 2, down).await?;
    }
    let outcomes = load.outcomes().await?;
    cluster.check_violations().await?;
    check_jobs(&cluster, &outcomes).await?;
    assert!(
        count_succeeded(&outcomes) > 120,
        "expected more than 120 jobs to succeed: {outcomes:?}"
    );
    Ok(())
}
