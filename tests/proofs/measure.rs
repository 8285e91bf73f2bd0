//! Figures for docs/guarantees.md, with the default times of the settings.

use std::time::{Duration, Instant};

use lagoon_core::id::ShardId;

use crate::harness::{BoxError, Caller, Cluster, ClusterPlan, batch, eventually};

process_cases! {
    #[ignore = "prints figures; see docs/guarantees.md"]
    measure_takeover => takeover();
    #[ignore = "prints figures; see docs/guarantees.md"]
    measure_idle_cell => idle_cell();
}

const KILLS: usize = 10;
const JOBS: usize = 300;
const IDLE: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(30);

fn plan() -> ClusterPlan {
    ClusterPlan {
        default_times: true,
        ..ClusterPlan::one_domain()
    }
}

/// Prints the time from SIGKILL of an owner until a job of its shard has started.
async fn takeover() -> Result<(), BoxError> {
    let mut times = Vec::new();
    let mut cluster = Cluster::start(&plan()).await?;
    let caller = cluster.caller("malang");
    let shard: ShardId = "malang:0".parse()?;
    for round in 0..KILLS {
        let owner = cluster.owner(&shard).await?;
        let killed = Instant::now();
        cluster.schedulers[owner].kill();
        let starts = (0..8).map(|n| first_start(&caller, format!("{round}-{n}"), killed));
        let starts: Vec<_> = starts.map(tokio::spawn).collect();
        let mut first = LIMIT;
        for start in starts {
            let (work, time) = start.await??;
            if work.starts_with(&format!("w:{shard}:")) {
                first = first.min(time);
            }
        }
        times.push(first.as_millis() as u64);
        cluster.schedulers[owner].start()?;
        cluster.schedulers[owner].ready(&cluster.client).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    print("SIGKILL to the first start of the shard", &mut times);
    Ok(())
}

/// Submits a job and returns its id and the time at which it was seen to have started.
fn first_start(
    caller: &Caller,
    key: String,
    since: Instant,
) -> impl Future<Output = Result<(String, Duration), BoxError>> + Send + 'static {
    let caller = caller.clone();
    async move {
        let job = batch(1, 50, "echo:run");
        let accepted = caller.submit_to_end(0, &key, &job).await?;
        let work = accepted.text("work").to_owned();
        let started = || async {
            let answer = caller.job(0, &work).await.ok()?;
            let ended = !answer.body["result"].is_null();
            (ended || answer.body["started_at"].is_u64()).then(|| since.elapsed())
        };
        let time = eventually("the job has started", LIMIT, started).await?;
        Ok((work, time))
    }
}

/// Prints the time from acceptance to start, and the calls to the store, of a cell without other work.
async fn idle_cell() -> Result<(), BoxError> {
    let cluster = Cluster::start(&plan()).await?;
    let caller = cluster.caller("malang");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cluster.platform.store_calls().await?;
    tokio::time::sleep(IDLE).await;
    let after = cluster.platform.store_calls().await?;
    println!("store calls within {IDLE:?} when idle: before {before:?}, after {after:?}");
    let mut times = Vec::new();
    for n in 0..JOBS {
        // Longer than the look at it below, so that the start is still shown.
        let job = batch(1, 100, "echo:run");
        let accepted = caller.submit_to_end(n, &format!("idle-{n}"), &job).await?;
        let work = accepted.text("work").to_owned();
        let look = || async {
            let body = caller.job(n, &work).await.ok()?.body;
            Some(body["started_at"].as_u64()? - body["accepted_at"].as_u64()?)
        };
        times.push(eventually("the job has started", LIMIT, look).await?);
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
