//! G7: a graceful stop interrupts no request in flight.

use std::time::Duration;

use tokio::task::JoinSet;

use crate::harness::{BoxError, Caller, Cluster, ClusterPlan, Deduplication, Response, batch};

process_cases! {
    g7_gateway_answers_all_requests_in_flight_before_it_stops => stop_gateway();
    g7_scheduler_answers_all_requests_in_flight_before_it_stops => stop_scheduler();
}

/// Requests of each kind of deduplication.
const REQUESTS: usize = 20;
const RUN_MS: u64 = 1_500;
/// Time for all requests to reach an executor or a queue.
const SEND_TIME: Duration = Duration::from_millis(500);

type Calls = JoinSet<Result<(usize, Response), BoxError>>;

/// Guards against a gateway that closes connections while their requests run.
async fn stop_gateway() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let calls = send(&caller).await?;
    tokio::time::sleep(SEND_TIME).await;
    cluster.gateways[0].terminate()?;
    check(calls).await?;
    let status = cluster.gateways[0].wait_for_exit().await?;
    assert!(status.success(), "{status}");
    Ok(())
}

/// Guards against releasing a shard while its requests run or are queued, and against jobs that end with their owner.
async fn stop_scheduler() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let job = batch(2, 4_000, "echo:run");
    let accepted = caller.submit_with_retries(0, "g7-job", &job).await?;
    let calls = send(&caller).await?;
    tokio::time::sleep(SEND_TIME).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].terminate()?;
    check(calls).await?;
    let status = cluster.schedulers[owner].wait_for_exit().await?;
    assert!(status.success(), "{status}");
    let result = caller.wait_for_result(1, accepted.text("work")).await?;
    assert_eq!(result["outcome"], "succeeded", "{result}");
    cluster.check_violations().await
}

/// Sends requests of all three kinds of deduplication through the first gateway, each once.
async fn send(caller: &Caller) -> Result<Calls, BoxError> {
    let mut calls = JoinSet::new();
    let tickets = caller.tickets(REQUESTS).await?;
    for (n, ticket) in tickets.into_iter().enumerate() {
        let dedups = [
            Deduplication::Ticket(ticket),
            Deduplication::Key(format!("g7-{n}")),
            Deduplication::None,
        ];
        for dedup in dedups {
            let caller = caller.clone();
            calls.spawn(async move {
                let payload = format!("sleep:{RUN_MS};echo:{n}");
                Ok((n, caller.request(0, &dedup, &payload).await?))
            });
        }
    }
    Ok(calls)
}

async fn check(mut calls: Calls) -> Result<(), BoxError> {
    while let Some(call) = calls.join_next().await {
        let (n, response) = call??;
        assert_eq!(response.status, 200, "request {n}: {response:?}");
        assert_eq!(response.text("answer"), n.to_string());
    }
    Ok(())
}
