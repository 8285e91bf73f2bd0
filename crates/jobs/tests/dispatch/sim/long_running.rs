//! Jobs with tasks that run until their job is cancelled.

use lagoon_core::unit::Millis;
use lagoon_jobs::id::{Epoch, JobId, StepKey, TaskKey};
use lagoon_jobs::job::JobRecord;
use lagoon_jobs::spec::{JobSpec, StepSpec};
use rand::Rng;

use super::{EXECUTORS, STEP_MS, Sim};
use crate::harness::{job_id, policy, step};

/// Number of these jobs at a time, which leave room for others.
const MAX_JOBS: usize = 6;
/// Time after which a run that does not fail would end, longer than any simulation.
const ENDLESS: Millis = Millis::new(10_000_000);

impl Sim {
    /// Creates a simulation in which some jobs are long-running.
    pub(crate) fn with_long_running(seed: u64) -> Self {
        Self {
            has_long_running: true,
            ..Self::new(seed)
        }
    }

    pub(super) fn submit_long_running(&mut self, number: u64) {
        if self.long_running_jobs().len() >= MAX_JOBS {
            return;
        }
        let id = job_id(number + 1);
        let tasks = StepSpec {
            long_running: true,
            max_per_executor: self.rng.random_bool(0.5).then_some(1),
            ..step(self.rng.random_range(1..=3), 1)
        };
        let spec = JobSpec::new("payload", vec![tasks], None).unwrap();
        let policy = policy();
        let queue = policy.queue(&"urgent".parse().unwrap()).unwrap();
        let record = JobRecord::accept(queue, self.now, spec).under(Some(Epoch::new(self.epoch)));
        self.records.insert(id, record.clone());
        self.dispatcher.submit(id, record, self.now);
    }

    /// Replaces the owner while an executor is out of reach of the next one, but not of the last one, for longer than an
    /// intended lease.
    pub(super) fn take_over_beside_a_cut(&mut self) {
        let i = self.rng.random_range(0..EXECUTORS);
        let ms = self.rng.random_range(5_000..16_000);
        if self.rng.random_bool(0.2) {
            self.restart(i);
        }
        self.executors[i].unresponsive_until = self.now.after(Millis::new(ms));
        self.take_over();
    }

    /// Returns the time after which a run of a long-running task fails.
    pub(super) fn draw_time_to_failure(&mut self) -> Millis {
        match !self.fault_free && self.rng.random_bool(0.1) {
            true => Millis::new(self.rng.random_range(500..10_000)),
            false => ENDLESS,
        }
    }

    /// Waits until all long-running tasks run at the same time, and cancels their jobs.
    pub(super) fn cancel_long_running(&mut self, ms: u64) {
        let jobs = self.long_running_jobs();
        let tasks: Vec<TaskKey> = jobs.iter().flat_map(|id| self.tasks_of(*id)).collect();
        let is_running = |sim: &Self, task: TaskKey| sim.executors.iter().any(|e| e.runs(task));
        let all_run = |sim: &Self| tasks.iter().all(|task| is_running(sim, *task));
        let mut passed = 0;
        while !all_run(self) {
            let missing = tasks.iter().find(|task| !is_running(self, **task));
            let seed = self.seed;
            assert!(passed < ms, "seed {seed}: {missing:?} does not run");
            self.step();
            passed += STEP_MS;
        }
        for id in jobs {
            self.cancelled.insert(id);
            self.dispatcher.cancel(id, self.now);
        }
    }

    fn long_running_jobs(&self) -> Vec<JobId> {
        let records = self.records.iter();
        let long_running = records.filter(|(_, record)| record.spec().is_long_running());
        let ids = long_running.map(|(id, _)| *id);
        ids.filter(|id| !self.cancelled.contains(id)).collect()
    }

    fn tasks_of(&self, id: JobId) -> Vec<TaskKey> {
        let count = self.records[&id].spec().steps()[0].count;
        let step = StepKey::new(id, 0, 0);
        (0..count).map(|index| step.task(index)).collect()
    }
}
