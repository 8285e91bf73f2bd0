//! G3: each caller gets the whole answer to its own request.

use lagoon_core::unit::Millis;
use lagoon_standin::fault::FaultMode;
use tokio::task::JoinSet;

use crate::harness::{BoxError, Cluster, ClusterPlan, Route};

process_cases! {
    g3_slow_and_reordered_answers_reach_their_callers => reorder_answers();
}

const REQUESTS: usize = 60;
const ANSWER_BYTES: usize = 100_000;

/// Guards against answers that are mixed up, cut off or answered to the wrong repeat of a request.
async fn reorder_answers() -> Result<(), BoxError> {
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
        let text = whole_text(n);
        // Later requests run shorter, so that the answers come in about the reverse order.
        let payload = format!("sleep:{};echo:{text}", 20 * (REQUESTS - n));
        // Both gateways ask for the same answer at the same time.
        for gateway in 0..2 {
            let (caller, payload, text) = (caller.clone(), payload.clone(), text.clone());
            let route = Route::Ticket(ticket.clone());
            calls.spawn(async move {
                let answer = caller.request(gateway, &route, &payload).await?;
                let whole = answer.status == 200 && answer.text("answer") == text;
                let length = answer.text("answer").len();
                let wrong = || format!("request {n}: {} with {length} bytes", answer.status);
                whole.then_some(()).ok_or_else(|| BoxError::from(wrong()))
            });
        }
    }
    while let Some(call) = calls.join_next().await {
        call??;
    }
    let ran: u32 = cluster.platform.runs().await?.values().sum();
    assert_eq!(ran as usize, REQUESTS, "a repeat ran again");
    Ok(())
}

/// Returns a text that differs from those of other requests in every part of it.
fn whole_text(n: usize) -> String {
    let part = format!("{n:04}-{:08x}.", n * 2_654_435_761 % 4_294_967_296);
    part.repeat(ANSWER_BYTES / part.len())
}
