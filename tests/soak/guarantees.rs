use std::time::Duration;

use lagoon_standin::site::SiteHandle;
use tokio::time::Instant;

use crate::caller::{Caller, Job};
use crate::harness::BoxError;

/// Time after the last fault in which every job has to be finished and shown so by every node: a member's lease, the
/// longest lease of a run, and the runs themselves.
const SETTLE_LIMIT: Duration = Duration::from_secs(35);
/// Time from the acknowledgement of a cancellation after which no task of the job may start: the platform's three seconds,
/// and the longest outage of the plan.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_000 + 3_500);
const POLL: Duration = Duration::from_millis(200);

/// Checks what must hold at any time.
pub(crate) fn check_always(site: &SiteHandle) -> Result<(), BoxError> {
    match site.log().violations().first() {
        Some(violation) => Err(violation.clone().into()),
        None => Ok(()),
    }
}

/// Waits until each job is finished on every node, and checks what was promised of it.
pub(crate) async fn check_finished(
    site: &SiteHandle,
    caller: &Caller,
    nodes: usize,
    jobs: &[Job],
) -> Result<(), BoxError> {
    let until = Instant::now() + SETTLE_LIMIT;
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
                return Err(format!("{}: node {node} still shows {state}", job.path).into());
            }
            "failed" | "cancelled" => return Err(format!("{}: shown as {state}", job.path).into()),
            _ => tokio::time::sleep(POLL).await,
        }
    }
}

fn check_done(site: &SiteHandle, job: &Job) -> Result<(), BoxError> {
    let done = site.log().done();
    let ended = done
        .iter()
        .filter(|(task, _)| task.starts_with(&job.id))
        .count();
    match ended == job.tasks {
        true => Ok(()),
        false => Err(format!(
            "{}: shown as done, {ended} of {} tasks are",
            job.path, job.tasks
        )
        .into()),
    }
}

fn check_never_ran(site: &SiteHandle, job: &Job) -> Result<(), BoxError> {
    let starts = site.log().starts();
    match starts.iter().find(|start| start.task.starts_with(&job.id)) {
        Some(start) => Err(format!("{}: refused, and ran on {}", job.path, start.executor).into()),
        None => Ok(()),
    }
}

fn check_cancelled(site: &SiteHandle, job: &Job) -> Result<(), BoxError> {
    let Some(cancelled) = job.cancelled else {
        return Ok(());
    };
    let starts = site.log().starts();
    let late = starts
        .iter()
        .filter(|start| start.task.starts_with(&job.id))
        .find(|start| start.began > cancelled + CANCEL_LIMIT);
    match late {
        Some(start) => Err(format!("{}: started long after its cancellation", start.task).into()),
        None => Ok(()),
    }
}
