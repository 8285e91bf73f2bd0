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

/// Largest factor of run times; keeps the end of a task within the range of the clock.
const MAX_FACTOR: f64 = 1_000.0;

/// State of a worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) settings: WorkerSettings,
    pub(crate) run_time_factor: f64,
    pub(crate) observed_factor: f64,
    pub(crate) usage_lag: Duration,
    pub(crate) crashed: bool,
    /// True if every task fails as soon as it has started.
    pub(crate) failing: bool,
    pub(crate) incarnation: Incarnation,
    /// Highest epoch that was granted; survives a restart.
    pub(crate) epoch: Epoch,
    pub(crate) lease: Option<HeldLease>,
    pub(crate) task_ttl: Duration,
    /// Highest epoch seen of each shard; survives a restart.
    pub(crate) shard_epochs: HashMap<ShardId, Epoch>,
    /// When the tasks of each shard stop unless renewed.
    pub(crate) tasks_until: HashMap<ShardId, Instant>,
    pub(crate) tasks: HashMap<TaskId, TaskRecord>,
    pub(crate) started: HashSet<TaskId>,
    /// How often each member was started, whatever the attempt; survives a restart.
    pub(crate) starts: BTreeMap<TaskId, u32>,
    pub(crate) sequence: Sequence,
    /// Sequence number at the start of this run; earlier ones get a full inventory.
    pub(crate) first_sequence: Sequence,
    pub(crate) forgotten: BTreeMap<Sequence, TaskId>,
    usage: Usage,
    measured: Instant,
}

impl WorkerState {
    pub(crate) fn new(settings: WorkerSettings, all: &WorkersSettings, now: Instant) -> Self {
        Self {
            settings,
            run_time_factor: all.run_time_factor.clamp(0.0, MAX_FACTOR),
            observed_factor: all.observed_factor,
            usage_lag: all.usage_lag.to_duration(),
            crashed: false,
            failing: false,
            incarnation: Incarnation::new(1),
            epoch: Epoch::default(),
            lease: None,
            task_ttl: Duration::ZERO,
            shard_epochs: HashMap::new(),
            tasks_until: HashMap::new(),
            tasks: HashMap::new(),
            started: HashSet::new(),
            starts: BTreeMap::new(),
            sequence: Sequence::new(1),
            first_sequence: Sequence::new(1),
            forgotten: BTreeMap::new(),
            usage: Usage {
                assigned: Resources::ZERO,
                observed: Resources::ZERO,
                age_ms: Millis::ZERO,
            },
            measured: now,
        }
    }

    /// Applies everything that time has changed up to `now`.
    pub(crate) fn settle(&mut self, now: Instant) {
        if self.lease.as_ref().is_some_and(|lease| lease.until <= now) {
            self.lease = None;
        }
        for record in self.tasks.values_mut() {
            if !record.report.state.is_running() {
                continue;
            }
            let until = self.tasks_until.get(&record.report.shard);
            let until = until.copied().unwrap_or(record.ends);
            if record.ends.min(until) > now {
                continue;
            }
            self.sequence = self.sequence.next();
            record.changed = self.sequence;
            record.report.state = match until < record.ends {
                true => TaskState::Stopped { started: true },
                false => record.ends_as.clone(),
            };
        }
        if now.saturating_duration_since(self.measured) >= self.usage_lag {
            self.measured = now;
            self.usage.assigned = self.assigned();
            self.usage.observed = self.observed();
        }
    }

    /// Loses the tasks and the lease, and begins a new run that is down until `restart`.
    pub(crate) fn crash(&mut self) {
        self.crashed = true;
        self.lease = None;
        self.tasks.clear();
        self.started.clear();
        self.forgotten.clear();
        self.tasks_until.clear();
        self.sequence = self.sequence.next();
        self.first_sequence = self.sequence;
    }

    pub(crate) fn restart(&mut self) {
        self.crashed = false;
        self.incarnation = self.incarnation.next();
    }

    /// Fails every task that starts from now on.
    pub(crate) fn fail(&mut self) {
        self.failing = true;
    }

    /// Runs tasks again as their payloads ask.
    pub(crate) fn recover(&mut self) {
        self.failing = false;
    }

    /// Remembers an epoch of a shard; false if a higher one was seen before.
    pub(crate) fn see_shard_epoch(&mut self, shard: &ShardId, epoch: Epoch) -> bool {
        let highest = self.shard_epochs.entry(shard.clone()).or_default();
        *highest = epoch.max(*highest);
        epoch == *highest
    }

    pub(crate) fn assigned(&self) -> Resources {
        self.sum(|record| record.report.resources)
    }

    pub(crate) fn usage(&self, now: Instant) -> Usage {
        let age_ms = to_millis(now.saturating_duration_since(self.measured));
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
