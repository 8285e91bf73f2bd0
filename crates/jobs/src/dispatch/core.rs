use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use lagoon_core::unit::{Millis, Timestamp};

use crate::advice::AdviceTable;
use crate::dispatch::gang_reservations::GangReservations;
use crate::dispatch::ownership::Ownership;
use crate::dispatch::{DispatchLimits, Effect, StopRequest};
use crate::fleet::{ExecutorSlot, Fleet};
use crate::id::{Epoch, ExecutorId, JobId, RunNumber, TaskKey};
use crate::job::{Job, JobTable, PendingCancellations, RunTimes, TaskPhase};
use crate::policy::{CellPolicy, Queue};
use crate::record::{CleanupQueue, WriteQueue};
use crate::run::{RunPhase, RunTable};

/// State of a dispatcher, shared by all stages.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) epoch: Epoch,
    pub(super) ownership: Ownership,
    pub(super) limits: DispatchLimits,
    pub(super) policy: Arc<CellPolicy>,
    pub(super) jobs: JobTable,
    pub(super) pending_cancellations: PendingCancellations,
    pub(super) fleet: Fleet,
    pub(super) runs: RunTable,
    pub(super) advice: AdviceTable,
    pub(super) write_queue: WriteQueue,
    pub(super) cleanup: CleanupQueue,
    pub(super) times: RunTimes,
    pub(super) effects: Vec<Effect>,
    /// What gangs reserved in the last pass.
    pub(super) reservations: GangReservations,
    /// Executors that have not listed all their runs and ends to this owner. Inherited work may run there or have ended.
    pub(super) unreported: BTreeSet<ExecutorSlot>,
    /// Jobs that executors name and the owner does not know, with the time of the last lookup.
    pub(super) lookups: BTreeMap<JobId, Timestamp>,
    /// Jobs that executors name and the store does not hold.
    pub(super) missing_jobs: HashSet<JobId>,
    /// Executors that are gone and whose records are to be removed.
    pub(super) departed: Vec<ExecutorId>,
    /// When the leases of all runs that earlier owners started on unreported executors have expired.
    pub(super) inherited_lease_end: Timestamp,
    /// The same for runs in a known incarnation, where no lease outlasts what its owner granted.
    pub(super) located_lease_end: Timestamp,
    /// When the last request of an earlier owner has taken effect and the lease that it may have granted has expired.
    pub(super) earlier_requests_end: Timestamp,
    /// Tasks whose location an earlier owner stored, until they are adopted or known to have ended.
    pub(super) inherited_locations: BTreeSet<TaskKey>,
}

impl Core {
    pub(super) fn new(epoch: Epoch, limits: DispatchLimits, now: Timestamp) -> Self {
        let last_grant = now.after(limits.lease_renewal_window.max(limits.owner_lease));
        // An executor's clock may be up to 2% slow; rounded up.
        let expiry = |lease: Millis| {
            let slack = Millis::new(lease.get() / 30);
            last_grant.after(lease).after(slack)
        };
        // An executor that has restarted takes a lease end on its earlier clock as the longest lease that it grants.
        let inherited_lease_end = expiry(limits.max_lease);
        // The first owner of a cell has no earlier one.
        let earlier_requests_end = match epoch == Epoch::default().next() {
            true => Timestamp::default(),
            false => inherited_lease_end.after(limits.max_request_delay),
        };
        Self {
            epoch,
            ownership: Ownership::default(),
            limits,
            policy: Arc::default(),
            jobs: JobTable::default(),
            pending_cancellations: PendingCancellations::default(),
            fleet: Fleet::default(),
            runs: RunTable::default(),
            advice: AdviceTable::default(),
            write_queue: WriteQueue::new(limits.record_lanes),
            cleanup: CleanupQueue::new(limits.record_lanes),
            times: RunTimes::default(),
            effects: Vec::new(),
            reservations: GangReservations::default(),
            unreported: BTreeSet::new(),
            lookups: BTreeMap::new(),
            missing_jobs: HashSet::new(),
            departed: Vec::new(),
            inherited_lease_end,
            located_lease_end: expiry(limits.lease),
            earlier_requests_end,
            inherited_locations: BTreeSet::new(),
        }
    }

    /// Returns the queue of a job: as configured or, once it is removed from the configuration, as it was when the job was
    /// accepted.
    pub(super) fn queue_of<'a>(&'a self, job: &'a Job) -> Option<&'a Arc<Queue>> {
        let record = job.record();
        let configured = self.policy.queue(record.queue());
        configured.or_else(|| record.definition())
    }

    /// Returns true if inherited work may still run, or have an end to list, on an unreported executor. An executor that has
    /// listed only a part has its leases renewed, so its other ends have to be awaited until these leases expire.
    pub(super) fn inherited_work_may_run(&self, now: Timestamp) -> bool {
        let mut unreported = self.unreported.iter();
        !self.unreported.is_empty()
            && (now <= self.inherited_lease_end
                || unreported.any(|slot| self.has_unlisted_ends(*slot, now)))
    }

    /// Returns true if an executor has listed only a part of its ends, and its leases have not expired since.
    pub(super) fn has_unlisted_ends(&self, slot: ExecutorSlot, now: Timestamp) -> bool {
        let executor = self.fleet.get(slot);
        executor.identity.listed_at().is_some() && !executor.is_fully_listed(now)
    }

    /// Stops a run, unless it is already stopping.
    pub(super) fn stop(&mut self, task: TaskKey) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        if matches!(run.phase, RunPhase::Stopping { .. }) {
            return;
        }
        run.phase = RunPhase::Stopping { confirmed: None };
        let (slot, number) = (run.slot, run.number);
        self.request_stop(slot, task, number);
    }

    pub(super) fn request_stop(&mut self, slot: ExecutorSlot, task: TaskKey, number: RunNumber) {
        self.effects.push(Effect::Stop(StopRequest {
            slot,
            address: self.fleet.get(slot).entry.address,
            task,
            number,
            epoch: self.epoch,
        }));
    }

    /// Stops all runs of the step of `task`.
    pub(super) fn stop_step(&mut self, task: TaskKey) {
        let tasks: Vec<TaskKey> = self.runs.of_step(task.step()).map(|run| run.task).collect();
        tasks.into_iter().for_each(|task| self.stop(task));
    }

    /// Removes a run that can't exist any more. Its task waits to be started again, unless it is done.
    pub(super) fn drop_run(&mut self, task: TaskKey) {
        if self.runs.remove(task, &mut self.fleet).is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(task.job())
            && let Some(step) = job.step_mut(task.step())
        {
            step.set_phase(task.index(), TaskPhase::Pending);
        }
        self.end_location(task);
    }
}
