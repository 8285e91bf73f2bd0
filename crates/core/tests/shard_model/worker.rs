use std::collections::BTreeMap;
use std::sync::Arc;

use lagoon_core::id::{Epoch, Incarnation, TaskId};
use lagoon_core::shard::{StartResult, TaskPhase, TaskReport};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources, Timestamp};
use lagoon_core::work::WorkSpec;

use super::rules::Rules;

pub(crate) const TTL: Millis = Millis::new(1_000);
pub(crate) const TASK_TTL: Millis = Millis::new(4_000);

/// A worker as the platform promises it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) index: usize,
    pub(crate) crashed: bool,
    pub(crate) cut: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch: Epoch,
    lease: Option<(usize, Timestamp)>,
    shard_epoch: Epoch,
    tasks_until: Timestamp,
    tasks: BTreeMap<TaskId, Task>,
}

#[derive(Debug, Clone)]
struct Task {
    spec: Option<Arc<WorkSpec>>,
    phase: TaskPhase,
    ends: Timestamp,
}

impl Worker {
    pub(crate) fn new(index: usize) -> Self {
        Self {
            index,
            crashed: false,
            cut: false,
            incarnation: Incarnation::new(1),
            epoch: Epoch::default(),
            lease: None,
            shard_epoch: Epoch::default(),
            tasks_until: Timestamp::default(),
            tasks: BTreeMap::new(),
        }
    }

    pub(crate) fn capacity() -> Resources {
        Resources::new(Millicores::new(4_000), Bytes::new(4 << 30))
    }

    pub(crate) fn reachable(&self) -> bool {
        !self.crashed && !self.cut
    }

    /// Grants or renews the lease: whether it is granted, and whether the caller's shard epoch is outdated.
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
        self.tasks_until = now.after(TASK_TTL);
        Ok(())
    }

    /// Ends the lease if the caller still has it at that epoch.
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
        rules: &mut Rules,
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
        rules.start(task, spec, self.index);
        let task_record = Task {
            spec: Some(spec.clone()),
            phase: TaskPhase::Running,
            ends: now.after(spec.run_time),
        };
        self.tasks.insert(task.clone(), task_record);
        StartResult::Known(TaskPhase::Running)
    }

    pub(crate) fn stop(&mut self, task: &TaskId, rules: &mut Rules) -> TaskPhase {
        let unknown = Task {
            spec: None,
            phase: TaskPhase::Stopped { started: false },
            ends: Timestamp::default(),
        };
        let known = self.tasks.entry(task.clone()).or_insert(unknown);
        if known.phase == TaskPhase::Running {
            known.phase = TaskPhase::Stopped { started: true };
            if let Some(spec) = &known.spec {
                rules.stop(task, &spec.payload);
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

    /// Applies what time has changed.
    pub(crate) fn settle(&mut self, now: Timestamp, rules: &mut Rules) {
        for (id, task) in &mut self.tasks {
            if task.phase != TaskPhase::Running || task.ends.min(self.tasks_until) > now {
                continue;
            }
            task.phase = match self.tasks_until < task.ends {
                true => TaskPhase::Stopped { started: true },
                false => TaskPhase::Succeeded("done".to_owned()),
            };
            if let Some(spec) = &task.spec {
                rules.stop(id, &spec.payload);
            }
        }
    }

    pub(crate) fn crash(&mut self, rules: &mut Rules) {
        self.crashed = true;
        self.lease = None;
        for (id, task) in std::mem::take(&mut self.tasks) {
            if let (TaskPhase::Running, Some(spec)) = (&task.phase, &task.spec) {
                rules.stop(&id, &spec.payload);
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
