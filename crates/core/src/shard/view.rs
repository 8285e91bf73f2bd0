//! Views of the state for callers and operators.

use smallvec::SmallVec;

use crate::id::{TeamId, WorkId};
use crate::journal::EndedWork;
use crate::placement::ClosedReason;
use crate::shard::{ExecutorView, Shard, ShardView, WorkView, WorkerView};
use crate::work::WorkState;

impl Shard {
    /// Returns a piece of work, live or ended.
    pub fn work(&self, work: &WorkId) -> Option<WorkView> {
        if let Some(record) = self.records.get(work) {
            return Some(record.view());
        }
        let ended = self.journal.state().ended(work)?;
        Some(ended_view(work.clone(), ended))
    }

    /// Returns up to `limit` matching pieces of live work, ordered by id.
    pub fn list(&self, team: Option<&TeamId>, state: Option<&str>, limit: usize) -> Vec<WorkView> {
        let matches = |view: &WorkView| {
            team.is_none_or(|team| view.spec.team == *team)
                && state.is_none_or(|state| view.state.as_str() == state)
        };
        let mut views: Vec<WorkView> = self
            .records
            .values()
            .map(|record| record.view())
            .filter(matches)
            .collect();
        views.sort_by(|a, b| a.work.cmp(&b.work));
        views.truncate(limit);
        views
    }

    /// Returns the state of the shard.
    pub fn view(&self) -> ShardView {
        let count = |wanted: fn(&WorkState) -> bool| {
            self.records
                .values()
                .filter(|record| wanted(&record.state))
                .count() as u64
        };
        let executors = self.slots.iter().map(|record| ExecutorView {
            executor: record.executor.clone(),
            service: record.service.clone(),
            worker: record.worker.clone(),
            slots: record.slots,
            in_use: record.own_in_use + record.inherited_in_use,
        });
        ShardView {
            shard: self.config.shard.clone(),
            phase: self.phase(),
            owner: self.config.process.clone(),
            epoch: self.epoch,
            queued: count(|state| matches!(state, WorkState::Waiting | WorkState::Held)),
            running: count(|state| matches!(state, WorkState::Starting | WorkState::Running)),
            unresolved: count(|state| *state == WorkState::Unresolved),
            tickets: self.tickets.outstanding() as u64,
            unrecorded: self.journal.pending() as u64,
            workers: self
                .workers
                .keys()
                .filter_map(|worker| self.worker_view(worker))
                .collect(),
            executors: executors.collect(),
        }
    }

    fn worker_view(&self, worker: &crate::id::WorkerId) -> Option<WorkerView> {
        let worker_record = self.workers.get(worker)?;
        let slot = self.fleet.get(worker)?;
        let reasons = [
            ClosedReason::NoLease,
            ClosedReason::Draining,
            ClosedReason::Rested,
        ];
        let closed = reasons
            .iter()
            .filter(|reason| slot.closed().contains(**reason));
        Some(WorkerView {
            worker: worker.clone(),
            host: worker_record.host.clone(),
            rack: slot.rack().clone(),
            phase: worker_record.lifecycle.phase(),
            epoch: worker_record.lease.epoch(),
            capacity: slot.capacity(),
            allocated: slot.allocated(),
            observed: slot.observed(),
            closed: closed.copied().collect(),
        })
    }
}

/// Returns the view of ended work.
pub(super) fn ended_view(work: WorkId, ended: &EndedWork) -> WorkView {
    WorkView {
        work,
        spec: ended.spec.clone(),
        state: WorkState::Ended(ended.outcome.clone()),
        reason: String::new(),
        workers: SmallVec::new(),
        accepted_at: ended.accepted_at,
        started_at: None,
    }
}
