//! Measurements for docs/guarantees.md, with the default lease and heartbeat times.

use std::time::{Duration, Instant};

use lagoon_core::id::ShardId;

use crate::harness::{BoxError, Caller, Cluster, ClusterPlan, batch, eventually};

process_cases! {
    #[ignore = "prints measurements; see docs/guarantees.md"]
    measure_takeover => takeover();
    #[ignore = "prints measurements; see docs/guarantees.md"]
    measure_idle_cell => idle_cell();
}

const KILLS: usize = 10;
const JOBS: usize = 300;
const IDLE_TIME: Duration = Duration::from_secs(10);
const START_TIMEOUT: Duration = Duration::from_secs(30);

fn plan() -> ClusterPlan {
    ClusterPlan {
        default_times: true,
        ..ClusterPlan::one_domain()
    }
}

/// Prints the time from SIGKILL of an owner to the first start of a job of its shard.
async fn takeover() -> Result<(), BoxError> {
    let mut times = Vec::new();
    let mut cluster = Cluster::start(&plan()).await?;
    let caller = cluster.caller("malang");
    let shard: ShardId = "malang:0".parse()?;
    for round in 0..KILLS {
        let owner = cluster.owner(&shard).await?;
        let killed = Instant::now();
        cluster.schedulers[owner].kill();
        let starts = (0..8).map(|n| time_to_start(&caller, format!("{round}-{n}"), killed));
        let starts: Vec<_> = starts.map(tokio::spawn).collect();
        let mut first = START_TIMEOUT;
        for start in starts {
            let (work, time) = start.await??;
            if work.starts_with(&format!("w:{shard}:")) {
                first = first.min(time);
            }
        }
        times.push(first.as_millis() as u64);
        cluster.schedulers[owner].start()?;
        cluster.schedulers[owner]
            .wait_until_ready(&cluster.client)
            .await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    print("SIGKILL to the first start of the shard", &mut times);
    Ok(())
}

/// Submits a job and returns its id and the time from `since` until its start was observed.
fn time_to_start(
    caller: &Caller,
    key: String,
    since: Instant,
) -> impl Future<Output = Result<(String, Duration), BoxError>> + Send + 'static {
    let caller = caller.clone();
    async move {
        let job = batch(1, 50, "echo:run");
        let accepted = caller.submit_with_retries(0, &key, &job).await?;
        let work = accepted.text("work").to_owned();
        let started = || async {
            let response = caller.job(0, &work).await.ok()?;
            let ended = !response.body["result"].is_null();
            (ended || response.body["started_at"].is_u64()).then(|| since.elapsed())
        };
        let time = eventually("the job has started", START_TIMEOUT, started).await?;
        Ok((work, time))
    }
}

/// Prints the time from acceptance to start, and the number of store calls, of an idle cell.
async fn idle_cell() -> Result<(), BoxError> {
    let cluster = Cluster::start(&plan()).await?;
    let caller = cluster.caller("malang");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cluster.platform.store_calls().await?;
    tokio::time::sleep(IDLE_TIME).await;
    let after = cluster.platform.store_calls().await?;
    println!("store calls within {IDLE_TIME:?} when idle: before {before:?}, after {after:?}");
    let mut times = Vec::new();
    for n in 0..JOBS {
        // Runs longer than the poll interval below, so that the start is still visible.
        let job = batch(1, 100, "echo:run");
        let accepted = caller
            .submit_with_retries(n, &format!("idle-{n}"), &job)
            .await?;
        let work = accepted.text("work").to_owned();
        let poll = || async {
            let body = caller.job(n, &work).await.ok()?.body;
            Some(body["started_at"].as_u64()? - body["accepted_at"].as_u64()?)
        };
        times.push(eventually("the job has started", START_TIMEOUT, poll).await?);
    }
    print("acceptance to start", &mut times);
    Ok(())
}

fn print(what: &str, times: &mut [u64]) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    let (count, worst) = (times.len(), times[times.len() - 1]);
    println!(
        "{what}: n = {count}, median {} ms, p99 {} ms, worst {worst} ms",
        at(50),
        at(99)
    );
}
