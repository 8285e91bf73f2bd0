//! Comparison of the starts that the simulated platform counted with the outcomes that callers received.

use std::collections::BTreeMap;

use crate::harness::{BoxError, Cluster, Counts, Outcome, Outcomes};

/// Length of the payload prefix under which the simulated executors count runs.
const PAYLOAD_CHARS: usize = 80;

/// Fails unless each request ran at most once, each successful request ran, and none refused as `not_run` did.
pub(crate) async fn check_requests(
    cluster: &Cluster,
    outcomes: &[(String, Outcome)],
) -> Result<(), BoxError> {
    for (request, count) in cluster.platform.runs().await? {
        ensure(count == 1, || format!("{request} ran {count} times"))?;
    }
    let runs = total_counts(&cluster.platform.payloads().await?);
    for (payload, outcome) in outcomes {
        let payload: String = payload.chars().take(PAYLOAD_CHARS).collect();
        let count = runs.get(&payload).copied().unwrap_or_default();
        check(&payload, outcome, count)?;
    }
    Ok(())
}

/// Fails unless each task of a job started at most once, each successful job started, and none refused as `not_run`
/// did. `outcomes` holds the work ids of the jobs.
pub(crate) async fn check_jobs(
    cluster: &Cluster,
    outcomes: &[(String, Outcome)],
) -> Result<(), BoxError> {
    let starts_by_task = total_counts(&cluster.platform.starts().await?);
    let mut starts_by_work = BTreeMap::new();
    for (task, count) in &starts_by_task {
        let work = task.rsplit_once(':').map_or("", |(work, _)| work);
        let max_starts: &mut u32 = starts_by_work.entry(work).or_default();
        *max_starts = (*max_starts).max(*count);
    }
    for (work, outcome) in outcomes {
        let count = starts_by_work
            .get(work.as_str())
            .copied()
            .unwrap_or_default();
        check(work, outcome, count)?;
    }
    Ok(())
}

/// Fails if a job started that is not in `outcomes`, such as one whose submission was refused as `not_run`.
pub(crate) async fn check_no_unaccepted(
    cluster: &Cluster,
    outcomes: &[&Outcomes],
) -> Result<(), BoxError> {
    for task in total_counts(&cluster.platform.starts().await?).keys() {
        let work = task.rsplit_once(':').map_or("", |(work, _)| work);
        let mut accepted = outcomes.iter().copied().flatten();
        let accepted = accepted.any(|(name, _)| name == work);
        ensure(accepted, || {
            format!("{work} started, but was never accepted")
        })?;
    }
    Ok(())
}

fn check(name: &str, outcome: &Outcome, count: u32) -> Result<(), BoxError> {
    let accurate = match outcome {
        Outcome::Succeeded(_) => count == 1,
        Outcome::NotRun(_) => count == 0,
        Outcome::NotKnown(_) => count <= 1,
    };
    ensure(accurate, || {
        format!("{name} started {count} times, but its outcome is {outcome:?}")
    })
}

fn total_counts(counts: &Counts) -> BTreeMap<String, u32> {
    let mut total = BTreeMap::new();
    for (key, count) in counts.values().flatten() {
        *total.entry(key.clone()).or_default() += count;
    }
    total
}

fn ensure(accurate: bool, message: impl FnOnce() -> String) -> Result<(), BoxError> {
    match accurate {
        true => Ok(()),
        false => Err(message().into()),
    }
}
