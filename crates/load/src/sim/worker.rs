use std::collections::{BTreeMap, BTreeSet};

use lagoon_core::id::{Epoch, Incarnation, Sequence, ShardId, TaskId};
use lagoon_core::shard::{StartResult, TaskPhase, TaskReport, WorkerSpec};
use lagoon_core::unit::{Millicores, Resources};

use crate::sim::heartbeat_response::HeartbeatResponse;
use crate::sim::known_task::KnownTask;

/// A simulated worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) lost: bool,
    pub(crate) is_failing: bool,
    tasks: BTreeMap<TaskId, KnownTask>,
    changed: BTreeSet<TaskId>,
    in_use: Resources,
    sequence: Sequence,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            lost: false,
            is_failing: false,
            tasks: BTreeMap::new(),
            changed: BTreeSet::new(),
            in_use: Resources::ZERO,
            sequence: Sequence::new(1),
        }
    }

    /// Starts a task if it fits.
    pub(crate) fn start(
        &mut self,
        task: &TaskId,
        resources: Resources,
        observed: Resources,
    ) -> StartResult {
        if let Some(known) = self.tasks.get(task) {
            return StartResult::Known(known.phase.clone());
        }
        let in_use = self.in_use.saturating_add(resources);
        if !in_use.fits_in(&self.spec.capacity) {
            return StartResult::DoesNotFit;
        }
        self.in_use = in_use;
        let phase = TaskPhase::Running;
        let running = KnownTask {
            resources,
            observed,
            phase,
        };
        self.tasks.insert(task.clone(), running);
        StartResult::Known(TaskPhase::Running)
    }

    /// Ends a running task, to be reported with the next heartbeat. Returns false if the task wasn't running.
    pub(crate) fn end(&mut self, task: &TaskId, phase: TaskPhase) -> bool {
        let known = self.tasks.get_mut(task);
        let Some(running) = known.filter(|known| known.phase == TaskPhase::Running) else {
            return false;
        };
        running.phase = phase;
        self.in_use = self.in_use.saturating_sub(running.resources);
        self.changed.insert(task.clone());
        true
    }

    /// Stops a task. An unknown task is recorded as stopped, so that it can't start later.
    pub(crate) fn stop(&mut self, task: &TaskId) {
        let known = self.tasks.contains_key(task);
        if known {
            self.end(task, TaskPhase::Stopped { started: true });
            return;
        }
        let stopped = KnownTask {
            resources: Resources::ZERO,
            observed: Resources::ZERO,
            phase: TaskPhase::Stopped { started: false },
        };
        self.tasks.insert(task.clone(), stopped);
        self.changed.insert(task.clone());
    }

    pub(crate) fn forget(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            self.tasks.remove(task);
            self.changed.remove(task);
        }
    }

    /// Returns the response to a heartbeat.
    pub(crate) fn heartbeat_response(
        &mut self,
        full: bool,
        shard: &ShardId,
        epoch: Epoch,
    ) -> HeartbeatResponse {
        let changed = std::mem::take(&mut self.changed);
        let listed: Vec<&TaskId> = match full {
            true => self.tasks.keys().collect(),
            false => changed.iter().collect(),
        };
        let report = |task: &TaskId| {
            let running = self.tasks.get(task)?;
            Some(TaskReport {
                task: task.clone(),
                shard: shard.clone(),
                shard_epoch: epoch,
                resources: running.resources,
                phase: running.phase.clone(),
                observed: running.observed,
            })
        };
        let tasks = listed.into_iter().filter_map(report).collect();
        self.sequence = self.sequence.next();
        HeartbeatResponse {
            incarnation: Incarnation::new(1),
            full,
            sequence: self.sequence,
            tasks,
            observed: self.observed(),
        }
    }

    /// Returns the resource use of running tasks. CPU is throttled at the capacity, and memory can't exceed it.
    fn observed(&self) -> Resources {
        let running = self.tasks.values();
        let running = running.filter(|running| running.phase == TaskPhase::Running);
        let used = running.fold(Resources::ZERO, |sum, running| {
            sum.saturating_add(running.observed)
        });
        let capacity = self.spec.capacity;
        Resources {
            cpu: Millicores::new(used.cpu.get().min(capacity.cpu.get())),
            memory: used.memory.min(capacity.memory),
            accelerators: used.accelerators.min(capacity.accelerators),
        }
    }
}
