//! Checks of what the fake platform counted against what the callers were told.

use std::collections::BTreeMap;

use crate::harness::{BoxError, Cluster, Counts, Ending, Endings};

/// Characters of a payload under which the fake executors count its runs.
const PAYLOAD_CHARS: usize = 80;

/// Fails unless each request ran at most once, each answered one did run, and no one refused as "not run" did.
pub(crate) async fn check_requests(
    cluster: &Cluster,
    endings: &[(String, Ending)],
) -> Result<(), BoxError> {
    for (request, count) in cluster.platform.runs().await? {
        expect(count == 1, || format!("{request} ran {count} times"))?;
    }
    let runs = sum(&cluster.platform.payloads().await?);
    for (payload, ending) in endings {
        let payload: String = payload.chars().take(PAYLOAD_CHARS).collect();
        let count = runs.get(&payload).copied().unwrap_or_default();
        check(&payload, ending, count)?;
    }
    Ok(())
}

/// Fails unless each member of a job started at most once, each job that succeeded did start, and no job refused as
/// "not run" did. `endings` holds the ids of the jobs.
pub(crate) async fn check_jobs(
    cluster: &Cluster,
    endings: &[(String, Ending)],
) -> Result<(), BoxError> {
    let members = sum(&cluster.platform.starts().await?);
    let mut works = BTreeMap::new();
    for (member, count) in &members {
        let work = member.rsplit_once(':').map_or("", |(work, _)| work);
        let most: &mut u32 = works.entry(work).or_default();
        *most = (*most).max(*count);
    }
    for (work, ending) in endings {
        let count = works.get(work.as_str()).copied().unwrap_or_default();
        check(work, ending, count)?;
    }
    Ok(())
}

/// Fails if a job started that is not among `endings`, such as one whose submission was refused as "not run".
pub(crate) async fn check_no_others(
    cluster: &Cluster,
    endings: &[&Endings],
) -> Result<(), BoxError> {
    for member in sum(&cluster.platform.starts().await?).keys() {
        let work = member.rsplit_once(':').map_or("", |(work, _)| work);
        let mut known = endings.iter().copied().flatten();
        let known = known.any(|(name, _)| name == work);
        expect(known, || format!("{work} started, but was never accepted"))?;
    }
    Ok(())
}

fn check(name: &str, ending: &Ending, count: u32) -> Result<(), BoxError> {
    let accurate = match ending {
        Ending::Answered(_) => count == 1,
        Ending::NotRun(_) => count == 0,
        Ending::NotKnown(_) => count <= 1,
    };
    expect(accurate, || {
        format!("{name} started {count} times, and its ending is {ending:?}")
    })
}

fn sum(counts: &Counts) -> BTreeMap<String, u32> {
    let mut total = BTreeMap::new();
    for (key, count) in counts.values().flatten() {
        *total.entry(key.clone()).or_default() += count;
    }
    total
}

fn expect(accurate: bool, message: impl FnOnce() -> String) -> Result<(), BoxError> {
    match accurate {
        true => Ok(()),
        false => Err(message().into()),
    }
}
