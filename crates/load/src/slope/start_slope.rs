//! Memory for each running task, and time for each start and each reported end.

use std::time::Instant;

use lagoon_core::id::TaskId;
use lagoon_core::shard::{
    Deduplication, Effect, Shard, StartResult, TaskPhase, TaskReport, WaiterId,
};
use lagoon_core::unit::{Bytes, Millicores, Resources};

use crate::report::ScenarioReport;
use crate::sim::{ShardStore, new_shard, shard_id};
use crate::slope::Line;
use crate::slope::memory::resident;
use crate::slope::queue_slope::{submission, wide};
use crate::slope::worker_slope::{NOW, beat, settle};
use crate::workload::{Deployment, policy};

/// Running tasks at each point, by scale.
const POINTS: [u64; 4] = [40, 80, 160, 280];
/// Workers, by scale.
const WORKERS: usize = 10;

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    let deployment = Deployment::settlements().with_workers(WORKERS * scale);
    let deployment = Deployment {
        executors: 0,
        ..deployment
    };
    let specs = deployment.specs();
    let mut shard = new_shard(wide(policy(&deployment)), &specs, NOW);
    let mut store = ShardStore::new();
    for spec in &specs {
        beat(&mut shard, spec, NOW, Vec::new());
    }
    let now = settle(&mut shard, &mut store, NOW);
    let (mut memory, mut submit, mut start) = (Line::default(), Line::default(), Line::default());
    let (mut number, mut submitting, mut starting) = (0, 0.0, 0.0);
    let mut running: Vec<(usize, TaskReport)> = Vec::new();
    for point in POINTS {
        let count = point * scale as u64;
        let work = (number..count).map(|number| {
            let mut submission = submission(&deployment, number, Deduplication::Once);
            submission.spec.resources = Resources::new(Millicores::new(1_000), Bytes::new(1 << 30));
            submission
        });
        let work: Vec<_> = work.collect();
        let began = Instant::now();
        for submission in work {
            shard.submit(WaiterId::new(number), submission, now);
            number += 1;
        }
        submitting += began.elapsed().as_nanos() as f64;
        let effects = shard.take_effects();
        let began = Instant::now();
        for effect in &effects {
            if let Effect::Start { worker, task, .. } = effect {
                let result = StartResult::Known(TaskPhase::Running);
                shard.on_start(worker, task, result, now);
            }
        }
        starting += began.elapsed().as_nanos() as f64;
        running.extend(effects.iter().filter_map(ended));
        submit.add(count as f64, submitting);
        start.add(count as f64, starting);
        memory.add(count as f64, resident() as f64);
    }
    memory.report_slope("memory per running task (B)", report);
    submit.report_slope("time per submission that starts (ns)", report);
    start.report_slope("time per answered start (ns)", report);
    let started = running.len() as f64;
    report
        .figures
        .insert("tasks running in the start slope".to_owned(), started);
    // One heartbeat for each ended task: its cost less that of a heartbeat without changes is that of the end.
    let mut ends = Line::default();
    let (mut spent, mut count) = (0.0, 0);
    let part = running.len().div_ceil(4).max(1);
    for chunk in running.chunks(part) {
        let began = Instant::now();
        for (worker, task) in chunk {
            beat(&mut shard, &specs[*worker], now, vec![task.clone()]);
        }
        spent += began.elapsed().as_nanos() as f64;
        count += chunk.len();
        ends.add(count as f64, spent);
        shard.take_effects();
    }
    ends.report_slope("time per heartbeat with one ended task (ns)", report);
    shard
}

fn ended(effect: &Effect) -> Option<(usize, TaskReport)> {
    let Effect::Start { worker, task, spec } = effect else {
        return None;
    };
    let number = worker.as_str().strip_prefix('w')?.parse().ok()?;
    Some((number, task_report(task, spec.resources)))
}

fn task_report(task: &TaskId, resources: Resources) -> TaskReport {
    TaskReport {
        task: task.clone(),
        shard: shard_id(),
        shard_epoch: task.work().epoch(),
        resources,
        phase: TaskPhase::Succeeded("0".to_owned()),
        observed: resources,
    }
}
