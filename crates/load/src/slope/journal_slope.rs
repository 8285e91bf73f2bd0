//! Memory and time per journal entry, for accepted and ended jobs.

use std::time::Instant;

use lagoon_core::shard::{Deduplication, Shard, WaiterId};

use crate::report::ScenarioReport;
use crate::sim::{ShardStore, new_shard};
use crate::slope::Line;
use crate::slope::memory::resident_bytes;
use crate::slope::queue_slope::{submission, without_queue_limits};
use crate::slope::worker_slope::{NOW, commit_all};
use crate::util::name;
use crate::workload::{Deployment, policy};

/// Number of jobs at each point, multiplied by the scale.
const POINTS: [u64; 4] = [50, 100, 200, 400];

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    let deployment = Deployment::settlements();
    let mut shard = new_shard(
        without_queue_limits(policy(&deployment)),
        &deployment.specs(),
        NOW,
    );
    let mut store = ShardStore::new();
    let mut now = NOW;
    let (mut memory, mut time) = (Line::default(), Line::default());
    let mut ended = Line::default();
    let (mut number, mut total_ns) = (0, 0.0);
    for point in POINTS {
        let count = point * scale as u64;
        let work: Vec<_> = (number..count)
            .map(|number| {
                let key = name(&format!("k{number}"));
                submission(&deployment, number, Deduplication::Journal(key))
            })
            .collect();
        let started_at = Instant::now();
        for submission in work {
            shard.submit(WaiterId::new(number), submission, now);
            number += 1;
        }
        now = commit_all(&mut shard, &mut store, now);
        total_ns += started_at.elapsed().as_nanos() as f64;
        memory.add(count as f64, resident_bytes() as f64);
        time.add(count as f64, total_ns);
    }
    let works = shard.list(None, Some("waiting"), usize::MAX);
    let works: Vec<_> = works.into_iter().map(|view| view.work).collect();
    let mut total_ns = 0.0;
    for (index, chunk) in works.chunks(works.len().div_ceil(4).max(1)).enumerate() {
        let started_at = Instant::now();
        for work in chunk {
            shard.cancel(WaiterId::new(u64::MAX), work, "load", now);
        }
        now = commit_all(&mut shard, &mut store, now);
        total_ns += started_at.elapsed().as_nanos() as f64;
        ended.add(((index + 1) * chunk.len()) as f64, total_ns);
    }
    memory.report_slope("memory per recorded job that waits (B)", report);
    time.report_slope("time per recorded job, commits included (ns)", report);
    ended.report_slope("time per recorded end, commits included (ns)", report);
    let jobs = works.len().max(1) as f64;
    let calls = store.calls() as f64;
    report
        .figures
        .insert("store calls per job, all at once".to_owned(), calls / jobs);
    shard
}
