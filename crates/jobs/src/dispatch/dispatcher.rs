use std::marker::PhantomData;
use std::sync::Arc;

use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::dispatch::{DispatchLimits, Effect, Recovering, Serving};
use crate::fleet::{ExecutorEntry, ExecutorSlot};
use crate::id::{Epoch, ExecutorId, JobId, MemberId};
use crate::job::{Job, JobRecord, JobState, Progress};
use crate::policy::CellPolicy;

/// Decides for one owner which tasks run on which executors.
#[derive(Debug)]
pub struct Dispatcher<S> {
    pub(super) core: Core,
    stage: PhantomData<S>,
}

impl<S> Dispatcher<S> {
    /// Returns the epoch of the owner.
    pub fn epoch(&self) -> Epoch {
        self.core.epoch
    }

    /// Sets the configuration, unless its version is older than the current one.
    pub fn set_policy(&mut self, policy: Arc<CellPolicy>) {
        if policy.version() >= self.core.policy.version() {
            self.core.policy = policy;
        }
    }

    /// Sets the members of the cell that can reach the adviser.
    pub fn set_members(&mut self, members: &[MemberId]) {
        self.core.advice.set_members(members);
    }

    /// Adds or updates an executor from its entry in the list of executors. Returns its slot and whether it is new.
    ///
    /// An entry of a known executor that names another service, which is not configured, is another writer's. It says nothing about the
    /// executor, which counts as not listed until it writes its own entry again.
    pub fn observe(&mut self, entry: ExecutorEntry, now: Timestamp) -> (ExecutorSlot, bool) {
        if let Some(slot) = self.core.fleet.slot(&entry.id)
            && self.core.fleet.get(slot).entry.service != entry.service
            && !self.core.policy.has_service(&entry.service)
        {
            tracing::warn!(executor = %entry.id, service = %entry.service, "dispatch: entry of an executor names a service that is not configured, the entry is ignored");
            self.core.fleet.unlist(&entry.id);
            return (slot, false);
        }
        let incarnation = entry.incarnation;
        let (slot, is_new) = self.core.fleet.observe(entry);
        if is_new {
            self.core.unreported.insert(slot);
        }
        let identity = &mut self.core.fleet.get_mut(slot).identity;
        let change = identity.describe(incarnation, now);
        self.core.apply_identity_change(slot, change, now);
        (slot, is_new)
    }

    /// Records that an executor is no longer in the list of executors.
    pub fn unlist(&mut self, id: &ExecutorId) -> Option<ExecutorSlot> {
        self.core.fleet.unlist(id)
    }

    /// Returns the slots of all executors with their ids.
    pub fn executors(&self) -> Vec<(ExecutorSlot, ExecutorId)> {
        let all = self.core.fleet.iter();
        all.map(|(slot, e)| (slot, e.entry.id.clone())).collect()
    }

    /// Takes the effects that were decided since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.core.effects)
    }
}

impl Dispatcher<Recovering> {
    /// Returns a dispatcher that recovers the work of earlier owners.
    pub fn open(epoch: Epoch, limits: DispatchLimits, now: Timestamp) -> Self {
        Self {
            core: Core::new(epoch, limits, now),
            stage: PhantomData,
        }
    }

    /// Loads a stored job with its progress. A job that was stored under a later owner shows that the cell has been claimed.
    pub fn load(&mut self, id: JobId, record: JobRecord, progress: &Progress, now: Timestamp) {
        if self.core.is_of_later_owner(id, &record) {
            return self.core.step_down();
        }
        if let Some(state) = progress.outcome {
            self.core.cleanup.push(id, state);
            self.load_ended(id, state, now);
            return;
        }
        let mut job = Job::new(id, record);
        job.inherited = true;
        job.restore(progress, now);
        self.core.set_objective(&mut job);
        self.core.jobs.insert(job);
        self.core.jobs.begin_due(now);
        self.core.inherit_locations(id);
    }

    /// Loads the final state of a job that ended under an earlier owner.
    pub fn load_ended(&mut self, id: JobId, state: JobState, now: Timestamp) {
        self.core.jobs.insert_ended(id, state, now);
    }

    /// Returns the number of executors that have not listed their runs and ends to this owner.
    pub fn unreported(&self) -> usize {
        self.core.unreported.len()
    }

    /// Begins to place work. Inherited work waits until no unreported executor can still run it.
    pub fn serve(mut self, now: Timestamp) -> Dispatcher<Serving> {
        self.core.jobs.begin_due(now);
        self.core.end_complete_jobs(now);
        self.core.settle_inherited_locations(now);
        tracing::info!(
            epoch = %self.core.epoch,
            jobs = self.core.jobs.iter().count(),
            runs = self.core.runs.len(),
            unreported = self.core.unreported.len(),
            inherited_wait_ms = self.core.inherited_lease_end.since(now).get(),
            located_wait_ms = self.core.located_lease_end.since(now).get(),
            "dispatch: recovery is complete, placement begins"
        );
        Dispatcher {
            core: self.core,
            stage: PhantomData,
        }
    }
}

impl Dispatcher<Serving> {
    /// Adds an accepted job, unless it is known. A job that was stored under another owner may have been started by that
    /// owner.
    pub fn submit(&mut self, id: JobId, record: JobRecord, now: Timestamp) {
        if self.core.is_of_later_owner(id, &record) {
            return self.core.step_down();
        }
        let mut job = Job::new(id, record);
        job.inherited = job.record().owner() != Some(self.core.epoch);
        self.core.set_objective(&mut job);
        let queue = job.record().queue().clone();
        if self.core.jobs.insert(job) {
            tracing::info!(job = %id, %queue, "dispatch: job queued");
            self.core.jobs.begin_due(now);
            self.core.apply_deferred(id, now);
            if self.core.pending_cancellations.remove(id) {
                self.cancel(id, now);
            }
        }
    }
}

impl Core {
    fn is_of_later_owner(&self, id: JobId, record: &JobRecord) -> bool {
        let is_later = record.owner() > Some(self.epoch);
        if is_later {
            tracing::warn!(job = %id, owner = record.owner().map(Epoch::get), "dispatch: job was stored under a later owner, stepping down");
        }
        is_later
    }

    fn set_objective(&self, job: &mut Job) {
        let record = job.record();
        let Some(queue) = self.queue_of(job) else {
            return;
        };
        let critical_path = self
            .times
            .critical_path(record.queue(), record.spec())
            .get() as f64;
        let time = lagoon_core::unit::Millis::new((critical_path * queue.stretch) as u64);
        job.objective = record.accepted().after(time).after(queue.target_latency);
    }

    fn end_complete_jobs(&mut self, now: Timestamp) {
        let complete = |job: &&Job| job.is_live() && job.is_complete();
        let ids: Vec<JobId> = self.jobs.iter().filter(complete).map(Job::id).collect();
        for id in ids {
            self.end_job(id, JobState::Done, now);
        }
    }
}
