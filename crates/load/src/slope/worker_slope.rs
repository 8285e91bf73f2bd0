//! Memory per worker, and time per heartbeat without changes.

use std::time::Instant;

use lagoon_core::id::{Epoch, Incarnation, Sequence};
use lagoon_core::shard::{HeartbeatReport, Shard, WorkerSpec};
use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::report::ScenarioReport;
use crate::sim::{ShardStore, new_shard};
use crate::slope::Line;
use crate::slope::memory::resident_bytes;
use crate::workload::{Deployment, policy};

/// Number of workers at each point, multiplied by the scale.
const POINTS: [usize; 4] = [20, 50, 100, 200];

/// Virtual time at the start of the measurements.
pub(super) const NOW: Timestamp = Timestamp::from_millis(1_000_000);

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    let deployment = Deployment {
        executors: 0,
        ..Deployment::settlements().with_workers(POINTS[3] * scale)
    };
    let deployment = Deployment {
        executors: 0,
        ..deployment
    };
    let specs = deployment.specs();
    let mut shard = new_shard(policy(&deployment), &[], NOW);
    let mut store = ShardStore::new();
    let (mut memory, mut time, mut ticks) = (Line::default(), Line::default(), Line::default());
    let (mut known, mut now) = (0, NOW);
    for point in POINTS {
        let count = point * scale;
        shard.set_workers(&specs[..count], &Default::default(), now);
        for spec in &specs[known..count] {
            send_heartbeat(&mut shard, spec, now, Vec::new());
        }
        known = count;
        now = commit_all(&mut shard, &mut store, now);
        memory.add(count as f64, resident_bytes() as f64);
        let started_at = Instant::now();
        for spec in &specs[..count] {
            send_heartbeat(&mut shard, spec, now, Vec::new());
        }
        time.add(count as f64, started_at.elapsed().as_nanos() as f64);
        let started_at = Instant::now();
        shard.set_workers(&specs[..count], &Default::default(), now);
        shard.tick(now);
        ticks.add(count as f64, started_at.elapsed().as_nanos() as f64);
        shard.take_effects();
    }
    memory.report_slope("memory per worker (B)", report);
    time.report_slope("time per heartbeat without changes (ns)", report);
    ticks.report_slope("time per worker of each tick and host list (ns)", report);
    shard
}

/// Sends a heartbeat that renews the lease of a worker and reports changed tasks.
pub(super) fn send_heartbeat(
    shard: &mut Shard,
    spec: &WorkerSpec,
    now: Timestamp,
    tasks: Vec<lagoon_core::shard::TaskReport>,
) {
    shard.on_heartbeat_sending(&spec.worker, now);
    let report = HeartbeatReport {
        sent_at: now,
        epoch: Epoch::new(1),
        incarnation: Incarnation::new(1),
        rack: spec.rack.clone(),
        capacity: spec.capacity,
        ttl: Millis::new(3_600_000),
        task_ttl: Millis::new(3_600_000),
        full: false,
        sequence: Sequence::new(1),
        tasks,
        forgotten: Vec::new(),
        observed: Resources::ZERO,
    };
    shard.on_heartbeat(&spec.worker, report, now);
}

/// Commits all pending journal entries to the store. Returns the virtual time afterwards.
pub(super) fn commit_all(
    shard: &mut Shard,
    store: &mut ShardStore,
    mut now: Timestamp,
) -> Timestamp {
    while let Some(at) = store.drive(shard, now) {
        now = at.max(now.after(Millis::new(1)));
    }
    shard.take_effects();
    now
}
