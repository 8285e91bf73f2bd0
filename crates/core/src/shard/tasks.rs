//! Results of starts and stops, and reports of workers about tasks.

use crate::code::{Refusal, ResultCode};
use crate::health::HealthChange;
use crate::id::{TaskId, WorkId, WorkerId};
use crate::placement::ClosedReason;
use crate::shard::after_stop::AfterStop;
use crate::shard::placement_state::PlacementState;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::{Effect, Shard, StartResult, TaskPhase, TaskReport};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkState};

impl Shard {
    /// Applies the result of a start.
    pub fn on_start(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        result: StartResult,
        now: Timestamp,
    ) {
        let lost = matches!(result, StartResult::Unknown);
        if self.pending_starts.record_result(worker, task, lost) {
            let (worker, tasks) = (worker.clone(), vec![task.clone()]);
            self.effects.push(Effect::Acknowledge { worker, tasks });
        }
        self.on_stop(worker, task, result, now);
    }

    /// Applies the result of a stop, which does not show whether a start is still in flight.
    pub fn on_stop(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        result: StartResult,
        now: Timestamp,
    ) {
        match result {
            StartResult::Known(phase) => self.on_task_phase(worker, task, phase, now),
            StartResult::NotSent => {
                // After a pause, this is where the owner first learns that its leases have expired.
                self.check_leases(now);
                if self.may_use_worker(worker, now) {
                    self.record_worker_failure(worker, now);
                }
                self.on_not_started(worker, task, now);
            }
            StartResult::DoesNotFit => {
                // The worker has allocations that are unknown here, so read its full inventory.
                self.request_full_inventory(worker);
                self.on_not_started(worker, task, now);
            }
            StartResult::StartFailed => {
                self.record_worker_failure(worker, now);
                if let Some(record) = self.records.get_mut(task.work()) {
                    record.start_failed = true;
                }
                self.on_not_started(worker, task, now);
            }
            StartResult::LeaseLost => {
                self.lease_refused(worker);
                self.on_not_started(worker, task, now);
            }
            StartResult::ShardSuperseded => {
                let text = format!(
                    "worker {worker} has seen a later owner of shard {}",
                    self.config.shard
                );
                self.halt(Refusal::new(ResultCode::NotOwner, text));
            }
            StartResult::Unknown => {
                self.update_placement(worker, task, |placement| {
                    placement.state = PlacementState::InDoubt
                });
            }
        }
        self.schedule(now);
    }

    /// Applies one entry of a worker's inventory.
    pub(super) fn on_task_report(&mut self, worker: &WorkerId, report: TaskReport, now: Timestamp) {
        match report.phase {
            TaskPhase::Running => self.allocate_reported(worker, &report),
            _ => self.release_allocation(worker, &report.task),
        }
        if report.shard == self.config.shard {
            self.on_task_phase(worker, &report.task, report.phase, now);
        }
    }

    fn allocate_reported(&mut self, worker: &WorkerId, report: &TaskReport) {
        let Some(worker_record) = self.workers.get_mut(worker) else {
            return;
        };
        if worker_record.allocations.contains_key(&report.task) {
            return;
        }
        if self.fleet.allocate(worker, report.resources).is_ok() {
            worker_record
                .allocations
                .insert(report.task.clone(), report.resources);
        } else {
            // The worker already runs this task, so it lacks the capacity for a start of this shard that is in flight
            // and will refuse it. Place nothing more there until the full inventory is known.
            self.request_full_inventory(worker);
        }
    }

    /// Applies the reported state of a task of this shard.
    pub(super) fn on_task_phase(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        phase: TaskPhase,
        now: Timestamp,
    ) {
        if !self.find_or_add_placement(worker, task, &phase) {
            return;
        }
        match phase {
            TaskPhase::Running => self.on_running(worker, task, now),
            TaskPhase::Succeeded(output) => {
                self.record_worker_success(worker);
                self.update_placement(worker, task, |placement| placement.output = Some(output));
                self.on_stopped(worker, task, true, now);
            }
            TaskPhase::Failed(error) => {
                self.record_worker_failure(worker, now);
                self.stop_all(task.work(), AfterStop::End(Outcome::Failed(error)));
                self.on_stopped(worker, task, true, now);
            }
            TaskPhase::Stopped { started } => {
                // Another attempt of inherited work may run elsewhere, so decide only once all workers have responded.
                if !self.is_inherited(task.work()) {
                    self.stop_all(task.work(), AfterStop::Requeue);
                }
                self.on_stopped(worker, task, started, now);
            }
        }
    }

    /// Returns true if the work is inherited and waits for the workers of earlier owners.
    pub(super) fn is_inherited(&self, work: &WorkId) -> bool {
        self.records
            .get(work)
            .is_some_and(|record| record.inherited)
    }

    fn on_running(&mut self, worker: &WorkerId, task: &TaskId, now: Timestamp) {
        let Some(record) = self.records.get_mut(task.work()) else {
            return;
        };
        let Some(placement) = record
            .placements
            .iter_mut()
            .find(|placement| placement.is(task, worker))
        else {
            return;
        };
        placement.state = PlacementState::Running;
        if placement.stopping || record.after_stop.is_some() {
            placement.stopping = true;
            let (worker, task) = (worker.clone(), task.clone());
            self.effects.push(Effect::Stop { worker, task });
            return;
        }
        self.mark_if_running(task.work(), now);
    }

    /// Marks work as running once each of its tasks runs or has succeeded, and one still runs. A successor may find
    /// that some tasks have ended, in any order of the reports.
    fn mark_if_running(&mut self, work: &WorkId, now: Timestamp) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        let running = |placement: &TaskPlacement| placement.state == PlacementState::Running;
        let all = record.placements.len() == record.spec.task_count as usize;
        let started = |placement: &TaskPlacement| running(placement) || placement.output.is_some();
        if all
            && record.after_stop.is_none()
            && record.placements.iter().any(running)
            && record.placements.iter().all(started)
        {
            record.state = WorkState::Running;
            record.reason = String::new();
            record.started_at.get_or_insert(now);
        }
    }

    /// Handles a task that has stopped or will never start.
    pub(super) fn on_stopped(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        started: bool,
        now: Timestamp,
    ) {
        self.release_allocation(worker, task);
        self.update_placement(worker, task, |placement| {
            placement.state = PlacementState::Finished { started }
        });
        self.mark_if_running(task.work(), now);
        self.complete_if_stopped(task.work(), now);
    }

    fn on_not_started(&mut self, worker: &WorkerId, task: &TaskId, now: Timestamp) {
        let placed = self.records.get(task.work()).is_some_and(|record| {
            record
                .placements
                .iter()
                .any(|placement| placement.is(task, worker) && !placement.is_finished())
        });
        if placed {
            self.stop_all(task.work(), AfterStop::Requeue);
            self.on_stopped(worker, task, false, now);
        }
    }

    /// Handles a task that was lost together with its worker.
    pub(super) fn on_lost(&mut self, worker: &WorkerId, task: &TaskId, now: Timestamp) {
        self.stop_all(task.work(), AfterStop::Requeue);
        self.on_stopped(worker, task, true, now);
    }

    /// Asks all workers to stop the tasks of a piece of work. If `after_stop` is already set, the earlier decision
    /// stays.
    pub(super) fn stop_all(&mut self, work: &WorkId, after_stop: AfterStop) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.after_stop.get_or_insert(after_stop);
        for placement in record
            .placements
            .iter_mut()
            .filter(|placement| !placement.is_finished())
        {
            if !std::mem::replace(&mut placement.stopping, true) {
                let (worker, task) = (placement.worker.clone(), placement.task(work));
                self.effects.push(Effect::Stop { worker, task });
            }
        }
    }

    pub(super) fn update_placement(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        change: impl FnOnce(&mut TaskPlacement),
    ) {
        let record = self.records.get_mut(task.work());
        let placements = record
            .into_iter()
            .flat_map(|record| record.placements.iter_mut());
        if let Some(placement) = placements
            .into_iter()
            .find(|placement| placement.is(task, worker))
        {
            change(placement);
        }
    }

    fn record_worker_failure(&mut self, worker: &WorkerId, now: Timestamp) {
        let change = self.health.record_failure(worker, now, self.workers.len());
        if let HealthChange::Rested(_) = change {
            self.fleet.close(worker, ClosedReason::Rested);
        }
    }

    fn record_worker_success(&mut self, worker: &WorkerId) {
        if self.health.record_success(worker) {
            self.fleet.open(worker, ClosedReason::Rested);
        }
    }
}
