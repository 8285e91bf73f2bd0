//! G4: work refused as `not_run` has not run and never will.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Deduplication, Load, Outcome, Outcomes, batch,
    check_jobs, check_no_unaccepted, check_requests, gang,
};

process_cases! {
    g4_refused_work_never_runs_while_schedulers_are_killed => refuse_under_load();
    g4_cancelled_work_is_reported_accurately_while_an_owner_is_killed => cancel_waves();
}

/// Guards against work that stays in a queue or in the journal after it was refused to its caller.
async fn refuse_under_load() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let mut requests = Load::default();
    let mut jobs = Load::default();
    for (n, ticket) in caller.tickets(300).await?.into_iter().enumerate() {
        let payload = format!("sleep:300;echo:g4 request {n}");
        requests.request(&caller, n, Deduplication::Ticket(ticket), payload);
    }
    for n in 0..120 {
        let mut job: Value = match n % 4 {
            0 => batch(64, 300, "echo:too large for any host"),
            1 => gang(40, 16, 300, "echo:too many for the fleet"),
            _ => batch(8, 500, "echo:run"),
        };
        if n % 4 == 2 {
            // Most of these miss their deadline in the queue behind the others.
            job["deadline_ms"] = json!(600);
        }
        jobs.job(&caller, n, format!("g4-{n}"), job);
    }
    for round in 0..2 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let down = Duration::from_millis(1_200);
        cluster.restart_scheduler(round, down).await?;
    }
    let (requests, jobs) = (requests.outcomes().await?, jobs.outcomes().await?);
    let refused = |outcomes: &Outcomes| count(outcomes, |e| matches!(e, Outcome::NotRun(_)));
    assert!(
        refused(&jobs) >= 60,
        "expected at least 60 refused jobs: {jobs:?}"
    );
    // Leaves time for a start of refused work, which the checks below would find.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    check_requests(&cluster, &requests).await?;
    check_jobs(&cluster, &jobs).await?;
    check_no_unaccepted(&cluster, &[&jobs]).await?;
    cluster.check_violations().await
}

/// Guards against a new owner that starts a cancelled job, and against `not_run` for a job that had started.
async fn cancel_waves() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let mut work_ids = Vec::new();
    for n in 0..90 {
        let job = batch(8, 2_500, "echo:run");
        let accepted = caller
            .submit_with_retries(n, &format!("wave-{n}"), &job)
            .await?;
        work_ids.push(accepted.text("work").to_owned());
    }
    let (first, rest) = work_ids.split_at(30);
    let mut first = cancel_all(&caller, first);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let owner = cluster.owner(&"malang:0".parse()?).await?;
    cluster.schedulers[owner].kill();
    let mut second = cancel_all(&caller, &rest[..30]);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster.schedulers[owner].start()?;
    let mut third = cancel_all(&caller, &rest[30..]);
    for wave in [&mut first, &mut second, &mut third] {
        while let Some(cancelled) = wave.join_next().await {
            cancelled??;
        }
    }
    let mut outcomes = Outcomes::new();
    for work in &work_ids {
        let result = caller.wait_for_result(0, work).await?;
        outcomes.push((work.clone(), Outcome::from_result(&result)));
    }
    let not_run = count(&outcomes, |e| matches!(e, Outcome::NotRun(_)));
    assert!(
        not_run > 0,
        "no job was cancelled before its start: {outcomes:?}"
    );
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    check_jobs(&cluster, &outcomes).await?;
    cluster.check_violations().await
}

/// Cancels all of `work_ids` concurrently, and retries each until a gateway confirms it.
fn cancel_all(caller: &Caller, work_ids: &[String]) -> JoinSet<Result<(), BoxError>> {
    let mut wave = JoinSet::new();
    for (n, work) in work_ids.iter().cloned().enumerate() {
        let caller = caller.clone();
        wave.spawn(async move {
            for attempt in 0..100 {
                if let Ok(response) = caller.cancel(n + attempt, &work).await
                    && response.status == 200
                {
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(format!("no gateway confirmed the cancellation of {work}").into())
        });
    }
    wave
}

fn count(outcomes: &Outcomes, wanted: impl Fn(&Outcome) -> bool) -> usize {
    outcomes
        .iter()
        .filter(|(_, outcome)| wanted(outcome))
        .count()
}
