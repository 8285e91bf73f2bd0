use std::time::{Duration, Instant};

use lagoon_core::id::{Epoch, Sequence, TeamId, WorkId};
use lagoon_core::order::{FairQueue, QueueEntry};
use lagoon_core::placement::Fleet;
use lagoon_core::unit::{Bytes, Millis, Priority, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, WorkKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::bench::running_task::RunningTask;
use crate::sim::shard_id;
use crate::util::{cores_gib, name};
use crate::workload::{Deployment, policy};

/// Deferred entries of each kind that are retried when capacity is released, as in the shard.
const RETRIES_PER_RELEASE: usize = 16;

/// Queue and fleet of one shard, with tasks that start and end at random.
#[derive(Debug)]
pub(crate) struct DecisionBench {
    fleet: Fleet,
    queue: FairQueue,
    teams: Vec<TeamId>,
    running: Vec<RunningTask>,
    rng: SmallRng,
    last_sequence: u64,
    now: Timestamp,
}

impl DecisionBench {
    /// Fills a fleet of 32-core workers with `tasks` running tasks.
    pub(crate) fn new(workers: usize, tasks: usize, teams: usize, seed: u64) -> Self {
        let deployment = Deployment::settlements().with_workers(workers);
        let mut fleet = Fleet::new();
        for spec in deployment.specs() {
            fleet.upsert_worker(spec.worker, spec.rack, spec.capacity);
        }
        let mut queue = FairQueue::new(policy(&deployment));
        queue.set_total_capacity(fleet.total_capacity());
        let mut bench = Self {
            fleet,
            queue,
            teams: (0..teams).map(|n| name(&format!("team{n}"))).collect(),
            running: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            last_sequence: 0,
            now: Timestamp::from_millis(1_000_000),
        };
        while bench.running.len() < tasks {
            bench.start_one();
        }
        bench
    }

    /// Queues a task, then takes the next task from the queue and places it. Returns the total time of both decisions.
    pub(crate) fn start_one(&mut self) -> Duration {
        let entry = self.random_entry();
        let started_at = Instant::now();
        self.queue.push(entry);
        if let Some(entry) = self.queue.next(self.now) {
            let anywhere = PlacementPolicy::default();
            match self.fleet.place(&entry.need, &anywhere) {
                Some(worker) => {
                    self.queue.charge(entry.kind, &entry.team, entry.need);
                    let (team, need) = (entry.team, entry.need);
                    self.running.push(RunningTask { worker, team, need });
                }
                None => {
                    self.queue.defer(entry);
                }
            }
        }
        started_at.elapsed()
    }

    /// Ends a random task. Returns the time taken to release its resources.
    pub(crate) fn end_one(&mut self) -> Duration {
        let index = self.rng.random_range(0..self.running.len());
        let task = self.running.swap_remove(index);
        let started_at = Instant::now();
        self.fleet.release(&task.worker, task.need);
        self.queue.uncharge(WorkKind::Batch, &task.team, task.need);
        self.queue.retry(RETRIES_PER_RELEASE);
        started_at.elapsed()
    }

    /// Places a gang job and releases it again. Returns the time of the placement, or `None` if the gang doesn't fit.
    pub(crate) fn place_gang(&mut self, task_count: u32) -> Option<Duration> {
        let need = cores_gib(2, 8);
        let started_at = Instant::now();
        let placed = self
            .fleet
            .place_gang(task_count, &need, &PlacementPolicy::default());
        let elapsed = started_at.elapsed();
        for worker in placed? {
            self.fleet.release(&worker, need);
        }
        Some(elapsed)
    }

    /// Returns the assigned share of the dominant resource.
    pub(crate) fn share_in_use(&self) -> f64 {
        self.fleet
            .in_use()
            .dominant_share(&self.fleet.total_capacity())
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    fn random_entry(&mut self) -> QueueEntry {
        self.last_sequence += 1;
        let team = self.rng.random_range(0..self.teams.len());
        let cores = self.rng.random_range(1..=10);
        let urgent = self.rng.random_range(0..10) == 0;
        QueueEntry {
            work: WorkId::new(shard_id(), Epoch::new(1), Sequence::new(self.last_sequence)),
            kind: WorkKind::Batch,
            team: self.teams[team].clone(),
            priority: match urgent {
                true => Priority::HIGHEST,
                false => Priority::NORMAL,
            },
            deadline: Some(self.now.after(Millis::new(60_000))),
            need: Resources {
                memory: Bytes::new(cores << 32),
                ..cores_gib(cores, 0)
            },
            bytes: Bytes::new(500),
            enqueued: self.now,
        }
    }
}
