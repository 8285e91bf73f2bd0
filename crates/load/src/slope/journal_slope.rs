//! Memory and time for each journal entry: an acceptance, and an end that is kept.

use std::time::Instant;

use lagoon_core::shard::{Deduplication, Shard, WaiterId};

use crate::report::ScenarioReport;
use crate::sim::{ShardStore, new_shard};
use crate::slope::Line;
use crate::slope::memory::resident;
use crate::slope::queue_slope::{submission, wide};
use crate::slope::worker_slope::{NOW, settle};
use crate::util::name;
use crate::workload::{Deployment, policy};

/// Jobs at each point, by scale.
const POINTS: [u64; 4] = [50, 100, 200, 400];

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    let deployment = Deployment::settlements();
    let mut shard = new_shard(wide(policy(&deployment)), &deployment.specs(), NOW);
    let mut store = ShardStore::new();
    let mut now = NOW;
    let (mut memory, mut time) = (Line::default(), Line::default());
    let mut ended = Line::default();
    let (mut number, mut spent) = (0, 0.0);
    for point in POINTS {
        let count = point * scale as u64;
        let work: Vec<_> = (number..count)
            .map(|number| {
                let key = name(&format!("k{number}"));
                submission(&deployment, number, Deduplication::Journal(key))
            })
            .collect();
        let began = Instant::now();
        for submission in work {
            shard.submit(WaiterId::new(number), submission, now);
            number += 1;
        }
        now = settle(&mut shard, &mut store, now);
        spent += began.elapsed().as_nanos() as f64;
        memory.add(count as f64, resident() as f64);
        time.add(count as f64, spent);
    }
    let works = shard.list(None, Some("waiting"), usize::MAX);
    let works: Vec<_> = works.into_iter().map(|view| view.work).collect();
    let mut spent = 0.0;
    for (index, part) in works.chunks(works.len().div_ceil(4).max(1)).enumerate() {
        let began = Instant::now();
        for work in part {
            shard.cancel(WaiterId::new(u64::MAX), work, "load", now);
        }
        now = settle(&mut shard, &mut store, now);
        spent += began.elapsed().as_nanos() as f64;
        ended.add(((index + 1) * part.len()) as f64, spent);
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
