use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use lagoon_core::id::{Epoch, Incarnation, Sequence, ShardId, TaskId};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};
use lagoon_platform::worker::{TaskState, Usage};
use tokio::time::Instant;

use crate::util::to_millis;
use crate::workers::held_lease::HeldLease;
use crate::workers::task_record::TaskRecord;
use crate::workers::{WorkerSettings, WorkersSettings};

/// Maximum run time factor, so that the end of a task stays within the range of [`Instant`].
const MAX_FACTOR: f64 = 1_000.0;

/// State of a fake worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) settings: WorkerSettings,
    pub(crate) run_time_factor: f64,
    pub(crate) observed_factor: f64,
    pub(crate) usage_lag: Duration,
    pub(crate) crashed: bool,
    /// True if every task that starts fails immediately.
    pub(crate) is_failing: bool,
    pub(crate) incarnation: Incarnation,
    /// Epoch of the latest lease; survives a restart.
    pub(crate) epoch: Epoch,
    pub(crate) lease: Option<HeldLease>,
    pub(crate) task_ttl: Duration,
    /// Highest observed epoch by shard; survives a restart.
    pub(crate) shard_epochs: HashMap<ShardId, Epoch>,
    /// Time at which the tasks of a shard are stopped unless renewed.
    pub(crate) task_deadlines: HashMap<ShardId, Instant>,
    pub(crate) tasks: HashMap<TaskId, TaskRecord>,
    pub(crate) started_tasks: HashSet<TaskId>,
    /// Number of starts by task, over all attempts; survives a restart.
    pub(crate) starts: BTreeMap<TaskId, u32>,
    pub(crate) sequence: Sequence,
    /// Oldest sequence number that a delta can start from; holders behind it get a full inventory.
    pub(crate) oldest_delta_sequence: Sequence,
    pub(crate) forgotten: BTreeMap<Sequence, TaskId>,
    usage: Usage,
    measured_at: Instant,
}

impl WorkerState {
    pub(crate) fn new(settings: WorkerSettings, all: &WorkersSettings, now: Instant) -> Self {
        Self {
            settings,
            run_time_factor: all.run_time_factor.clamp(0.0, MAX_FACTOR),
            observed_factor: all.observed_factor,
            usage_lag: all.usage_lag.to_duration(),
            crashed: false,
            is_failing: false,
            incarnation: Incarnation::new(1),
            epoch: Epoch::default(),
            lease: None,
            task_ttl: Duration::ZERO,
            shard_epochs: HashMap::new(),
            task_deadlines: HashMap::new(),
            tasks: HashMap::new(),
            started_tasks: HashSet::new(),
            starts: BTreeMap::new(),
            sequence: Sequence::new(1),
            oldest_delta_sequence: Sequence::new(1),
            forgotten: BTreeMap::new(),
            usage: Usage {
                assigned: Resources::ZERO,
                observed: Resources::ZERO,
                age_ms: Millis::ZERO,
            },
            measured_at: now,
        }
    }

    /// Applies all time-dependent changes up to `now`: lease expiry, ends of tasks and usage measurements.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.expires_at <= now)
        {
            self.lease = None;
        }
        for record in self.tasks.values_mut() {
            if !record.report.state.is_running() {
                continue;
            }
            let deadline = self.task_deadlines.get(&record.report.shard);
            let deadline = deadline.copied().unwrap_or(record.ends_at);
            if record.ends_at.min(deadline) > now {
                continue;
            }
            self.sequence = self.sequence.next();
            record.last_change = self.sequence;
            record.report.state = match deadline < record.ends_at {
                true => TaskState::Stopped { started: true },
                false => record.end_state.clone(),
            };
        }
        if now.saturating_duration_since(self.measured_at) >= self.usage_lag {
            self.measured_at = now;
            self.usage.assigned = self.assigned();
            self.usage.observed = self.observed();
        }
    }

    /// Drops all tasks and the lease. The worker is unreachable until [`restart`](Self::restart).
    pub(crate) fn crash(&mut self) {
        self.crashed = true;
        self.lease = None;
        self.tasks.clear();
        self.started_tasks.clear();
        self.forgotten.clear();
        self.task_deadlines.clear();
        self.sequence = self.sequence.next();
        self.oldest_delta_sequence = self.sequence;
    }

    pub(crate) fn restart(&mut self) {
        self.crashed = false;
        self.incarnation = self.incarnation.next();
    }

    /// Makes every task that starts from now on fail immediately.
    pub(crate) fn fail(&mut self) {
        self.is_failing = true;
    }

    /// Ends the effect of [`fail`](Self::fail).
    pub(crate) fn recover(&mut self) {
        self.is_failing = false;
    }

    /// Records an epoch of a shard. Returns false if a higher epoch was observed before.
    pub(crate) fn observe_shard_epoch(&mut self, shard: &ShardId, epoch: Epoch) -> bool {
        let highest = self.shard_epochs.entry(shard.clone()).or_default();
        *highest = epoch.max(*highest);
        epoch == *highest
    }

    pub(crate) fn assigned(&self) -> Resources {
        self.sum(|record| record.report.resources)
    }

    pub(crate) fn usage(&self, now: Instant) -> Usage {
        let age_ms = to_millis(now.saturating_duration_since(self.measured_at));
        Usage {
            age_ms,
            ..self.usage
        }
    }

    pub(crate) fn scale(resources: Resources, factor: f64) -> Resources {
        let scaled = |amount: u64| (amount as f64 * factor) as u64;
        let cpu = Millicores::new(scaled(resources.cpu.get()));
        let memory = Bytes::new(scaled(resources.memory.get()));
        Resources::new(cpu, memory).with_accelerators(resources.accelerators)
    }

    fn observed(&self) -> Resources {
        self.sum(|record| record.report.observed)
    }

    fn sum(&self, of: impl Fn(&TaskRecord) -> Resources) -> Resources {
        let running = self
            .tasks
            .values()
            .filter(|record| record.report.state.is_running());
        running
            .map(of)
            .fold(Resources::ZERO, Resources::saturating_add)
    }
}
