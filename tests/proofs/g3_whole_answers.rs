//! G3: each caller gets the complete answer to its own request.

use lagoon_core::unit::Millis;
use lagoon_standin::fault::FaultMode;
use tokio::task::JoinSet;

use crate::harness::{BoxError, Cluster, ClusterPlan, Deduplication};

process_cases! {
    g3_slow_and_reordered_answers_reach_their_callers => reorder_responses();
}

const REQUESTS: usize = 60;
const RESPONSE_BYTES: usize = 100_000;

/// Guards against answers that are swapped between requests, truncated or sent to the wrong repeat of a request.
async fn reorder_responses() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    for executor in ["malang-e0", "malang-e1"] {
        let delay = FaultMode::Delay(Millis::new(700));
        cluster
            .platform
            .executor_faults(executor)?
            .set(delay)
            .await?;
    }
    let tickets = caller.tickets(REQUESTS).await?;
    let mut calls = JoinSet::new();
    for (n, ticket) in tickets.into_iter().enumerate() {
        let text = unique_text(n);
        // Later requests run for a shorter time, so answers arrive in roughly reverse order.
        let payload = format!("sleep:{};echo:{text}", 20 * (REQUESTS - n));
        // Both gateways request the same answer concurrently.
        for gateway in 0..2 {
            let (caller, payload, text) = (caller.clone(), payload.clone(), text.clone());
            let dedup = Deduplication::Ticket(ticket.clone());
            calls.spawn(async move {
                let response = caller.request(gateway, &dedup, &payload).await?;
                let complete = response.status == 200 && response.text("answer") == text;
                let length = response.text("answer").len();
                let wrong = || format!("request {n}: {} with {length} bytes", response.status);
                complete
                    .then_some(())
                    .ok_or_else(|| BoxError::from(wrong()))
            });
        }
    }
    while let Some(call) = calls.join_next().await {
        call??;
    }
    let ran: u32 = cluster.platform.runs().await?.values().sum();
    assert_eq!(ran as usize, REQUESTS, "a repeated request ran again");
    Ok(())
}

/// Returns a text of which every part differs from the texts of other requests.
fn unique_text(n: usize) -> String {
    let part = format!("{n:04}-{:08x}.", n * 2_654_435_761 % 4_294_967_296);
    part.repeat(RESPONSE_BYTES / part.len())
}
