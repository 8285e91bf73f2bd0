//! G1: no host is ever assigned more than it holds.

use std::time::Duration;

use crate::harness::{BoxError, Cluster, ClusterPlan, Load, answered, batch, check_jobs, gang};

process_cases! {
    g1_no_overload_while_schedulers_are_killed => kill_schedulers_under_load();
}

/// Guards against a successor that places work on a worker before it knows what the earlier owner started there.
async fn kill_schedulers_under_load() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let mut load = Load::default();
    for n in 0..150_usize {
        // The workers are full throughout, and tasks outlast a takeover, so that the successor finds them running.
        let job = match n % 6 {
            0 => gang(2, 6, 2_500, "echo:part"),
            _ => batch(1 + (n % 5) as u32, 1_500 + 250 * (n % 9) as u64, "echo:run"),
        };
        load.job(&caller, n, format!("g1-{n}"), job);
    }
    for round in 0..3 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let down = Duration::from_millis(1_500);
        cluster.replace_scheduler(round % 2, down).await?;
    }
    let endings = load.endings().await?;
    cluster.check_workers().await?;
    check_jobs(&cluster, &endings).await?;
    assert!(answered(&endings) > 120, "too few jobs ran: {endings:?}");
    Ok(())
}
