use std::collections::BTreeMap;
use std::sync::Arc;

use lagoon_core::id::{Epoch, Incarnation, TaskId};
use lagoon_core::shard::{StartResult, TaskPhase, TaskReport};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources, Timestamp};
use lagoon_core::work::WorkSpec;

use super::invariants::Invariants;

pub(crate) const TTL: Millis = Millis::new(1_000);
pub(crate) const TASK_TTL: Millis = Millis::new(4_000);

/// A simulated worker that behaves as the platform specifies.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) index: usize,
    pub(crate) crashed: bool,
    pub(crate) disconnected: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch: Epoch,
    lease: Option<(usize, Timestamp)>,
    shard_epoch: Epoch,
    tasks_expire_at: Timestamp,
    tasks: BTreeMap<TaskId, Task>,
}

#[derive(Debug, Clone)]
struct Task {
    spec: Option<Arc<WorkSpec>>,
    phase: TaskPhase,
    ends_at: Timestamp,
}

impl Worker {
    pub(crate) fn new(index: usize) -> Self {
        Self {
            index,
            crashed: false,
            disconnected: false,
            incarnation: Incarnation::new(1),
            epoch: Epoch::default(),
            lease: None,
            shard_epoch: Epoch::default(),
            tasks_expire_at: Timestamp::default(),
            tasks: BTreeMap::new(),
        }
    }

    pub(crate) fn capacity() -> Resources {
        Resources::new(Millicores::new(4_000), Bytes::new(4 << 30))
    }

    pub(crate) fn reachable(&self) -> bool {
        !self.crashed && !self.disconnected
    }

    /// Grants or renews the lease. On a refusal, the error is true if the caller's shard epoch is outdated.
    pub(crate) fn lease(
        &mut self,
        process: usize,
        shard_epoch: Epoch,
        known: Option<Epoch>,
        now: Timestamp,
    ) -> Result<(), bool> {
        self.shard_epoch = self.shard_epoch.max(shard_epoch);
        if shard_epoch < self.shard_epoch {
            return Err(true);
        }
        let valid = self.lease.filter(|(_, until)| *until > now);
        if valid.is_some_and(|(holder, _)| holder != process) {
            return Err(false);
        }
        if valid.is_none() || known != Some(self.epoch) {
            self.epoch = self.epoch.next();
        }
        self.lease = Some((process, now.after(TTL)));
        self.tasks_expire_at = now.after(TASK_TTL);
        Ok(())
    }

    /// Releases the lease if the caller still holds it at that epoch.
    pub(crate) fn release(&mut self, process: usize, lease: Epoch) {
        if self.epoch == lease && self.lease.is_some_and(|(holder, _)| holder == process) {
            self.lease = None;
        }
    }

    pub(crate) fn fence(&mut self, shard_epoch: Epoch) -> bool {
        self.shard_epoch = self.shard_epoch.max(shard_epoch);
        shard_epoch == self.shard_epoch
    }

    pub(crate) fn start(
        &mut self,
        lease: Epoch,
        shard_epoch: Epoch,
        task: &TaskId,
        spec: &Arc<WorkSpec>,
        now: Timestamp,
        invariants: &mut Invariants,
    ) -> StartResult {
        if !self.fence(shard_epoch) {
            return StartResult::ShardSuperseded;
        }
        if lease != self.epoch || self.lease.is_none_or(|(_, until)| until <= now) {
            return StartResult::LeaseLost;
        }
        if let Some(known) = self.tasks.get(task) {
            return StartResult::Known(known.phase.clone());
        }
        let free = Self::capacity().checked_sub(self.in_use());
        assert!(
            free.is_some_and(|free| spec.resources.fits_in(&free)),
            "worker {} is given {task}, which does not fit",
            self.index
        );
        invariants.on_start(task, spec, self.index);
        let task_record = Task {
            spec: Some(spec.clone()),
            phase: TaskPhase::Running,
            ends_at: now.after(spec.run_time),
        };
        self.tasks.insert(task.clone(), task_record);
        StartResult::Known(TaskPhase::Running)
    }

    pub(crate) fn stop(&mut self, task: &TaskId, invariants: &mut Invariants) -> TaskPhase {
        let unknown = Task {
            spec: None,
            phase: TaskPhase::Stopped { started: false },
            ends_at: Timestamp::default(),
        };
        let known = self.tasks.entry(task.clone()).or_insert(unknown);
        if known.phase == TaskPhase::Running {
            known.phase = TaskPhase::Stopped { started: true };
            if let Some(spec) = &known.spec {
                invariants.on_stop(task, &spec.payload);
            }
        }
        known.phase.clone()
    }

    pub(crate) fn acknowledge(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            if self
                .tasks
                .get(task)
                .is_some_and(|known| known.phase != TaskPhase::Running)
            {
                self.tasks.remove(task);
            }
        }
    }

    /// Applies the passing of time: tasks complete, or stop because they were not renewed.
    pub(crate) fn advance_to(&mut self, now: Timestamp, invariants: &mut Invariants) {
        for (id, task) in &mut self.tasks {
            if task.phase != TaskPhase::Running || task.ends_at.min(self.tasks_expire_at) > now {
                continue;
            }
            task.phase = match self.tasks_expire_at < task.ends_at {
                true => TaskPhase::Stopped { started: true },
                false => TaskPhase::Succeeded("done".to_owned()),
            };
            if let Some(spec) = &task.spec {
                invariants.on_stop(id, &spec.payload);
            }
        }
    }

    pub(crate) fn crash(&mut self, invariants: &mut Invariants) {
        self.crashed = true;
        self.lease = None;
        for (id, task) in std::mem::take(&mut self.tasks) {
            if let (TaskPhase::Running, Some(spec)) = (&task.phase, &task.spec) {
                invariants.on_stop(&id, &spec.payload);
            }
        }
    }

    pub(crate) fn restart(&mut self) {
        if std::mem::take(&mut self.crashed) {
            self.incarnation = self.incarnation.next();
        }
    }

    pub(crate) fn in_use(&self) -> Resources {
        let running = self
            .tasks
            .values()
            .filter(|task| task.phase == TaskPhase::Running);
        let specs = running.filter_map(|task| task.spec.as_ref());
        specs.fold(Resources::ZERO, |sum, spec| {
            sum.saturating_add(spec.resources)
        })
    }

    pub(crate) fn inventory(&self) -> Vec<TaskReport> {
        let report = |(id, task): (&TaskId, &Task)| {
            let resources = task
                .spec
                .as_ref()
                .map_or(Resources::ZERO, |spec| spec.resources);
            TaskReport {
                task: id.clone(),
                shard: id.work().shard().clone(),
                shard_epoch: self.shard_epoch,
                resources,
                phase: task.phase.clone(),
                observed: resources,
            }
        };
        self.tasks.iter().map(report).collect()
    }
}
