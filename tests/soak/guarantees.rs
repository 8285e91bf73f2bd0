use std::time::Duration;

use lagoon_standin::site::SiteHandle;
use tokio::time::Instant;

use crate::caller::{Caller, Job};
use crate::harness::BoxError;

/// Limit after the last fault for every node to report every job as finished: the lease of a member, the longest lease
/// of a run, and the runs themselves.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(35);
/// Time after an acknowledged cancellation from which on no task of the job may start: the platform's three seconds
/// plus the longest outage of the plan.
const CANCEL_DEADLINE: Duration = Duration::from_millis(3_000 + 3_500);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Fails if the simulated site has recorded a violation.
pub(crate) fn check_always(site: &SiteHandle) -> Result<(), BoxError> {
    match site.log().violations().first() {
        Some(violation) => Err(violation.clone().into()),
        None => Ok(()),
    }
}

/// Waits until every node reports each job as finished, and checks the guarantees given to its caller.
pub(crate) async fn check_finished(
    site: &SiteHandle,
    caller: &Caller,
    nodes: usize,
    jobs: &[Job],
) -> Result<(), BoxError> {
    let until = Instant::now() + SETTLE_TIMEOUT;
    for job in jobs {
        if job.refused {
            check_never_ran(site, job)?;
        }
        if !job.accepted {
            continue;
        }
        for node in 0..nodes {
            wait_for_end(caller, node, job, until).await?;
        }
        if !job.may_be_cancelled {
            wait_for_gang_end(site, job, until).await;
            check_done(site, job)?;
        }
        check_cancelled(site, job)?;
    }
    check_always(site)
}

async fn wait_for_end(
    caller: &Caller,
    node: usize,
    job: &Job,
    until: Instant,
) -> Result<(), BoxError> {
    loop {
        let state = caller.state(node, &job.path).await;
        match state.as_str() {
            "done" => return Ok(()),
            "cancelled" if job.may_be_cancelled => return Ok(()),
            _ if Instant::now() > until => {
                return Err(format!(
                    "{}: node {node} still reports {state} at the time limit",
                    job.path
                )
                .into());
            }
            "failed" | "cancelled" => {
                return Err(format!("{}: node {node} reports {state}", job.path).into());
            }
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Waits until no task of a gang runs. On the platform the tasks of a gang end together and one end represents all; the
/// simulated executors end each by its own start.
async fn wait_for_gang_end(site: &SiteHandle, job: &Job, until: Instant) {
    let runs = || {
        let starts = site.log().starts();
        let mut of_job = starts.iter().filter(|run| run.task.starts_with(&job.id));
        of_job.any(|run| run.ended.is_none())
    };
    while job.gang && runs() && Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn check_done(site: &SiteHandle, job: &Job) -> Result<(), BoxError> {
    let done = site.log().done_counts();
    let ended = done
        .iter()
        .filter(|(task, _)| task.starts_with(&job.id))
        .count();
    match ended == job.tasks {
        true => Ok(()),
        false => Err(format!(
            "{}: reported as done, but {ended} of {} tasks are",
            job.path, job.tasks
        )
        .into()),
    }
}

fn check_never_ran(site: &SiteHandle, job: &Job) -> Result<(), BoxError> {
    let starts = site.log().starts();
    match starts.iter().find(|start| start.task.starts_with(&job.id)) {
        Some(start) => Err(format!("{}: refused, but ran on {}", job.path, start.executor).into()),
        None => Ok(()),
    }
}

fn check_cancelled(site: &SiteHandle, job: &Job) -> Result<(), BoxError> {
    let Some(cancelled) = job.cancelled else {
        return Ok(());
    };
    let starts = site.log().starts();
    let late_start = starts
        .iter()
        .filter(|start| start.task.starts_with(&job.id))
        .find(|start| start.started_at > cancelled + CANCEL_DEADLINE);
    match late_start {
        Some(start) => Err(format!(
            "{}: started more than {CANCEL_DEADLINE:?} after its cancellation",
            start.task
        )
        .into()),
        None => Ok(()),
    }
}
