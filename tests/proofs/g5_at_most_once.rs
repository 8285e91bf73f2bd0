//! G5: work that must not run twice runs at most once, however often it is asked for.

use std::time::Duration;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Load, Route, answered, check_requests,
};

process_cases! {
    g5_requests_with_tickets_run_at_most_once_while_schedulers_die => retry_tickets();
    g5_requests_with_keys_run_at_most_once_while_schedulers_die => retry_keys();
}

const REQUESTS: usize = 240;

/// Guards against a ticket that a successor, which does not have the table, takes for a new one.
async fn retry_tickets() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    let caller = cluster.caller_at_all("malang");
    let tickets = caller.tickets(REQUESTS).await?;
    let routes = tickets.into_iter().map(Route::Ticket).collect();
    kill_while_retrying(cluster, &caller, routes).await
}

/// Guards against a key whose request ran for a dead owner and which the successor runs again.
async fn retry_keys() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    let caller = cluster.caller_at_all("malang");
    let keys = (0..REQUESTS).map(|n| Route::Key(format!("g5-{n}")));
    kill_while_retrying(cluster, &caller, keys.collect()).await
}

/// Sends each request by way of two gateways at the same time, and again by others, while schedulers die.
async fn kill_while_retrying(
    mut cluster: Cluster,
    caller: &Caller,
    routes: Vec<Route>,
) -> Result<(), BoxError> {
    let mut load = Load::default();
    for (n, route) in routes.into_iter().enumerate() {
        // 64 slots take a quarter of the requests at a time, so that some run and some wait at each kill.
        let payload = format!("sleep:{};echo:g5 request {n}", 400 + n % 7 * 50);
        for gateway in 0..2 {
            load.request(caller, n + gateway, route.clone(), payload.clone());
        }
    }
    for _ in 0..2 {
        tokio::time::sleep(Duration::from_millis(600)).await;
        let owner = cluster.owner(&"malang:0".parse()?).await?;
        let down = Duration::from_millis(1_200);
        cluster.replace_scheduler(owner, down).await?;
    }
    let endings = load.endings().await?;
    check_requests(&cluster, &endings).await?;
    assert!(answered(&endings) > 0, "{endings:?}");
    Ok(())
}
