//! Memory per running task, and time per start and reported end.

use std::time::Instant;

use lagoon_core::id::TaskId;
use lagoon_core::shard::{
    Deduplication, Effect, Shard, StartResult, TaskPhase, TaskReport, WaiterId,
};
use lagoon_core::unit::{Bytes, Millicores, Resources};

use crate::report::ScenarioReport;
use crate::sim::{ShardStore, new_shard, shard_id};
use crate::slope::Line;
use crate::slope::memory::resident_bytes;
use crate::slope::queue_slope::{submission, without_queue_limits};
use crate::slope::worker_slope::{NOW, commit_all, send_heartbeat};
use crate::workload::{Deployment, policy};

/// Number of running tasks at each point, multiplied by the scale.
const POINTS: [u64; 4] = [40, 80, 160, 280];
/// Number of workers, multiplied by the scale.
const WORKERS: usize = 10;

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    let deployment = Deployment::settlements().with_workers(WORKERS * scale);
    let deployment = Deployment {
        executors: 0,
        ..deployment
    };
    let specs = deployment.specs();
    let mut shard = new_shard(without_queue_limits(policy(&deployment)), &specs, NOW);
    let mut store = ShardStore::new();
    for spec in &specs {
        send_heartbeat(&mut shard, spec, NOW, Vec::new());
    }
    let now = commit_all(&mut shard, &mut store, NOW);
    let (mut memory, mut submit, mut start) = (Line::default(), Line::default(), Line::default());
    let (mut number, mut submit_ns, mut start_ns) = (0, 0.0, 0.0);
    let mut running: Vec<(usize, TaskReport)> = Vec::new();
    for point in POINTS {
        let count = point * scale as u64;
        let work = (number..count).map(|number| {
            let mut submission = submission(&deployment, number, Deduplication::Once);
            submission.spec.resources = Resources::new(Millicores::new(1_000), Bytes::new(1 << 30));
            submission
        });
        let work: Vec<_> = work.collect();
        let started_at = Instant::now();
        for submission in work {
            shard.submit(WaiterId::new(number), submission, now);
            number += 1;
        }
        submit_ns += started_at.elapsed().as_nanos() as f64;
        let effects = shard.take_effects();
        let started_at = Instant::now();
        for effect in &effects {
            if let Effect::Start { worker, task, .. } = effect {
                let result = StartResult::Known(TaskPhase::Running);
                shard.on_start(worker, task, result, now);
            }
        }
        start_ns += started_at.elapsed().as_nanos() as f64;
        running.extend(effects.iter().filter_map(started_task));
        submit.add(count as f64, submit_ns);
        start.add(count as f64, start_ns);
        memory.add(count as f64, resident_bytes() as f64);
    }
    memory.report_slope("memory per running task (B)", report);
    submit.report_slope("time per submission that starts (ns)", report);
    start.report_slope("time per answered start (ns)", report);
    let started = running.len() as f64;
    report
        .figures
        .insert("tasks running in the start slope".to_owned(), started);
    // One heartbeat per ended task: the difference to a heartbeat without changes is the cost of an end.
    let mut ends = Line::default();
    let (mut total_ns, mut count) = (0.0, 0);
    let chunk = running.len().div_ceil(4).max(1);
    for chunk in running.chunks(chunk) {
        let started_at = Instant::now();
        for (worker, task) in chunk {
            send_heartbeat(&mut shard, &specs[*worker], now, vec![task.clone()]);
        }
        total_ns += started_at.elapsed().as_nanos() as f64;
        count += chunk.len();
        ends.add(count as f64, total_ns);
        shard.take_effects();
    }
    ends.report_slope("time per heartbeat with one ended task (ns)", report);
    shard
}

fn started_task(effect: &Effect) -> Option<(usize, TaskReport)> {
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
