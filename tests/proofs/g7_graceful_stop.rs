//! G7: a graceful stop interrupts no request in flight.

use std::time::Duration;

use tokio::task::JoinSet;

use crate::harness::{Answer, BoxError, Caller, Cluster, ClusterPlan, Route, batch};

process_cases! {
    g7_gateway_answers_all_requests_in_flight_before_it_stops => stop_gateway();
    g7_scheduler_answers_all_requests_in_flight_before_it_stops => stop_scheduler();
}

/// Requests on each route.
const REQUESTS: usize = 20;
const RUN_MS: u64 = 1_500;
/// Time after which all requests have reached an executor or a queue.
const SENT: Duration = Duration::from_millis(500);

type Calls = JoinSet<Result<(usize, Answer), BoxError>>;

/// Guards against connections that are closed while their requests run.
async fn stop_gateway() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let calls = send(&caller).await?;
    tokio::time::sleep(SENT).await;
    cluster.gateways[0].terminate()?;
    check(calls).await?;
    let status = cluster.gateways[0].stopped().await?;
    assert!(status.success(), "{status}");
    Ok(())
}

/// Guards against a shard that is given up while its requests run or wait, and against jobs that end with it.
async fn stop_scheduler() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let job = batch(2, 4_000, "echo:run");
    let accepted = caller.submit_to_end(0, "g7-job", &job).await?;
    let calls = send(&caller).await?;
    tokio::time::sleep(SENT).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].terminate()?;
    check(calls).await?;
    let status = cluster.schedulers[owner].stopped().await?;
    assert!(status.success(), "{status}");
    let result = caller.result(1, accepted.text("work")).await?;
    assert_eq!(result["outcome"], "succeeded", "{result}");
    cluster.check_workers().await
}

/// Sends requests on all three routes by way of the first gateway, each once.
async fn send(caller: &Caller) -> Result<Calls, BoxError> {
    let mut calls = JoinSet::new();
    let tickets = caller.tickets(REQUESTS).await?;
    for (n, ticket) in tickets.into_iter().enumerate() {
        let routes = [
            Route::Ticket(ticket),
            Route::Key(format!("g7-{n}")),
            Route::Once,
        ];
        for route in routes {
            let caller = caller.clone();
            calls.spawn(async move {
                let payload = format!("sleep:{RUN_MS};echo:{n}");
                Ok((n, caller.request(0, &route, &payload).await?))
            });
        }
    }
    Ok(calls)
}

async fn check(mut calls: Calls) -> Result<(), BoxError> {
    while let Some(call) = calls.join_next().await {
        let (n, answer) = call??;
        assert_eq!(answer.status, 200, "request {n}: {answer:?}");
        assert_eq!(answer.text("answer"), n.to_string());
    }
    Ok(())
}
