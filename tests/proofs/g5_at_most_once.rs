//! G5: at-most-once work runs at most once, however often the request is repeated.

use std::time::Duration;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Deduplication, Load, check_requests, count_succeeded,
};

process_cases! {
    g5_requests_with_tickets_run_at_most_once_while_schedulers_die => retry_tickets();
    g5_requests_with_keys_run_at_most_once_while_schedulers_die => retry_keys();
}

const REQUESTS: usize = 240;

/// Guards against a new owner that accepts a used ticket as unused because it does not have the ticket table.
async fn retry_tickets() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    let caller = cluster.caller_at_all_gateways("malang");
    let tickets = caller.tickets(REQUESTS).await?;
    let dedups = tickets.into_iter().map(Deduplication::Ticket).collect();
    kill_while_retrying(cluster, &caller, dedups).await
}

/// Guards against a new owner that repeats the request of a key that already ran for the killed owner.
async fn retry_keys() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    let caller = cluster.caller_at_all_gateways("malang");
    let keys = (0..REQUESTS).map(|n| Deduplication::Key(format!("g5-{n}")));
    kill_while_retrying(cluster, &caller, keys.collect()).await
}

/// Sends each request through two gateways concurrently, with retries through others, while schedulers are killed.
async fn kill_while_retrying(
    mut cluster: Cluster,
    caller: &Caller,
    dedups: Vec<Deduplication>,
) -> Result<(), BoxError> {
    let mut load = Load::default();
    for (n, dedup) in dedups.into_iter().enumerate() {
        // 64 slots hold about a quarter of the requests, so that some run and some are queued at each kill.
        let payload = format!("sleep:{};echo:g5 request {n}", 400 + n % 7 * 50);
        for gateway in 0..2 {
            load.request(caller, n + gateway, dedup.clone(), payload.clone());
        }
    }
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(600)).await;
        let owner = cluster.owner(&"malang:0".parse()?).await?;
        let down = Duration::from_millis(1_200);
        cluster.restart_scheduler(owner, down).await?;
    }
    let outcomes = load.outcomes().await?;
    check_requests(&cluster, &outcomes).await?;
    assert!(count_succeeded(&outcomes) > 0, "{outcomes:?}");
    Ok(())
}
