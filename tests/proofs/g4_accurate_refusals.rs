//! G4: what is refused as "not run" never ran and never will.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::harness::{
    BoxError, Caller, Cluster, ClusterPlan, Ending, Endings, Load, Route, batch, check_jobs,
    check_no_others, check_requests, gang,
};

process_cases! {
    g4_refused_work_never_runs_while_schedulers_are_killed => refuse_under_load();
    g4_cancelled_work_is_reported_accurately_while_an_owner_is_killed => cancel_waves();
}

/// Guards against work that is refused to its caller and stays in a queue or in the journal.
async fn refuse_under_load() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let mut requests = Load::default();
    let mut jobs = Load::default();
    for (n, ticket) in caller.tickets(300).await?.into_iter().enumerate() {
        let payload = format!("sleep:300;echo:g4 request {n}");
        requests.request(&caller, n, Route::Ticket(ticket), payload);
    }
    for n in 0..120 {
        let mut job: Value = match n % 4 {
            0 => batch(64, 300, "echo:too large for any host"),
            1 => gang(40, 16, 300, "echo:too many for the fleet"),
            _ => batch(8, 500, "echo:run"),
        };
        if n % 4 == 2 {
            // Most of these can't start in time behind the others.
            job["deadline_ms"] = json!(600);
        }
        jobs.job(&caller, n, format!("g4-{n}"), job);
    }
    for round in 0..2 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let down = Duration::from_millis(1_200);
        cluster.replace_scheduler(round, down).await?;
    }
    let (requests, jobs) = (requests.endings().await?, jobs.endings().await?);
    let refused = |endings: &Endings| count(endings, |e| matches!(e, Ending::NotRun(_)));
    assert!(refused(&jobs) >= 60, "too few refusals: {jobs:?}");
    // Leaves time for a refused piece of work to start after all.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    check_requests(&cluster, &requests).await?;
    check_jobs(&cluster, &jobs).await?;
    check_no_others(&cluster, &[&jobs]).await?;
    cluster.check_workers().await
}

/// Guards against a cancelled job that a successor starts, and against "not run" for one that had started.
async fn cancel_waves() -> Result<(), BoxError> {
    let mut cluster = Cluster::start(&ClusterPlan::one_domain()).await?;
    let caller = cluster.caller("malang");
    let mut works = Vec::new();
    for n in 0..90 {
        let job = batch(8, 2_500, "echo:run");
        let accepted = caller.submit_to_end(n, &format!("wave-{n}"), &job).await?;
        works.push(accepted.text("work").to_owned());
    }
    let (first, rest) = works.split_at(30);
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
    let mut endings = Endings::new();
    for work in &works {
        let result = caller.result(0, work).await?;
        endings.push((work.clone(), Ending::of_result(&result)));
    }
    let not_run = count(&endings, |e| matches!(e, Ending::NotRun(_)));
    assert!(
        not_run > 0,
        "no job was cancelled before its start: {endings:?}"
    );
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    check_jobs(&cluster, &endings).await?;
    cluster.check_workers().await
}

/// Cancels all of `works` at the same time, each until a gateway says so.
fn cancel_all(caller: &Caller, works: &[String]) -> JoinSet<Result<(), BoxError>> {
    let mut wave = JoinSet::new();
    for (n, work) in works.iter().cloned().enumerate() {
        let caller = caller.clone();
        wave.spawn(async move {
            for attempt in 0..100 {
                if let Ok(answer) = caller.cancel(n + attempt, &work).await
                    && answer.status == 200
                {
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Err(format!("{work} could not be cancelled").into())
        });
    }
    wave
}

fn count(endings: &Endings, wanted: impl Fn(&Ending) -> bool) -> usize {
    endings.iter().filter(|(_, ending)| wanted(ending)).count()
}
