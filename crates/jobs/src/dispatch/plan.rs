use std::sync::Arc;

use lagoon_core::unit::Timestamp;
use smallvec::SmallVec;

use crate::advice::Approval;
use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::rank::Rank;
use crate::dispatch::{Dispatcher, Effect, Serving, StartRequest};
use crate::fleet::ExecutorSlot;
use crate::id::{AdviceTicket, Label, RunNumber, StepKey, TaskKey};
use crate::job::TaskPhase;
use crate::policy::Queue;
use crate::run::{Run, RunPhase};
use crate::spec::StepSpec;

/// An executor on which a task of a step may start now.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) slot: ExecutorSlot,
    pub(super) ticket: Option<AdviceTicket>,
    /// Number of tasks of the step that may still be placed there.
    pub(super) allowed: u32,
    /// Whether its rack is not the one that holds the data.
    pub(super) is_remote: bool,
}

pub(super) type Candidates = SmallVec<[Candidate; 16]>;

/// Time before its expiry at which a ticket is no longer used, because the start has to arrive before it expires.
pub(super) const TICKET_MARGIN: lagoon_core::unit::Millis = lagoon_core::unit::Millis::new(60);

impl Dispatcher<Serving> {
    /// Begins due occurrences and places the steps that can run now, most urgent first.
    pub fn plan(&mut self, now: Timestamp) {
        self.core.jobs.begin_due(now);
        if self.core.ownership.may_start(&self.core.limits, now) {
            self.core.plan(now);
        }
    }
}

impl Core {
    fn plan(&mut self, now: Timestamp) {
        let reservations = std::mem::take(&mut self.reservations);
        let mut pass = Pass::new(self.fleet.free_capacity(now), reservations, now);
        for rank in self.ranked_steps(now) {
            let key = rank.key();
            let Some(job) = self.jobs.get(key.job()) else {
                continue;
            };
            let (Some(queue), Some(spec)) = (self.queue_of(job), job.step_spec(key)) else {
                continue;
            };
            let (queue, spec) = (Arc::clone(queue), spec.clone());
            pass.begin_step(rank.preemption());
            match spec.gang {
                true => self.place_gang(key, &spec, &queue, &mut pass),
                false => self.place_tasks(key, &spec, &queue, &mut pass),
            }
        }
        self.reservations = pass.into_reservations();
    }

    fn ranked_steps(&self, now: Timestamp) -> Vec<Rank> {
        let inherited_blocked = self.inherited_work_may_run(now);
        let ranked = self.jobs.open_steps().filter_map(|key| {
            let job = self.jobs.get(key.job())?;
            let step = job.step(key)?;
            let mut pending = step.pending_tasks();
            let waits = step.pending() > 0
                && pending.any(|index| self.may_start_again(job, step, index, inherited_blocked));
            let queue = self.queue_of(job)?;
            let record = job.record();
            let remaining = || {
                self.times
                    .critical_path_from(record.queue(), record.spec(), key.step())
            };
            waits.then(|| Rank::new(queue, job, key, remaining(), now))
        });
        let mut ranked: Vec<Rank> = ranked.collect();
        ranked.sort_unstable();
        ranked
    }

    /// Returns the executors on which the step may start tasks now. Those without capacity for one are filtered out first,
    /// because in a busy fleet they are most.
    pub(super) fn candidates(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &Pass,
    ) -> Candidates {
        let need = spec.reserved();
        let has_room = |slot: ExecutorSlot| pass.free_capacity(slot).fits(&need) > 0;
        if queue.advice.is_none() {
            let all = self.fleet.of_service(&queue.service).iter().copied();
            let found = all.filter(|slot| has_room(*slot));
            return found
                .filter_map(|slot| self.candidate(key, slot, None, spec, queue))
                .collect();
        }
        let approvals = self.advice.step(key).map(|advice| &advice.approvals[..]);
        let is_valid = |approval: &&Approval| {
            has_room(approval.slot)
                && pass.now.after(TICKET_MARGIN) < approval.valid_until
                && self.fleet.get(approval.slot).incarnation() == approval.incarnation
        };
        let valid = approvals.unwrap_or_default().iter().filter(is_valid);
        valid
            .filter_map(|approval| {
                let ticket = Some(approval.ticket.clone());
                self.candidate(key, approval.slot, ticket, spec, queue)
            })
            .collect()
    }

    /// Returns an executor as a candidate for a step; `None` if its service or its labels do not match.
    pub(super) fn candidate(
        &self,
        key: StepKey,
        slot: ExecutorSlot,
        ticket: Option<AdviceTicket>,
        spec: &StepSpec,
        queue: &Queue,
    ) -> Option<Candidate> {
        let executor = self.fleet.get(slot);
        let has = |label: &Option<Label>| label.as_ref().is_none_or(|l| executor.has_label(l));
        if executor.entry.service != queue.service || !has(&spec.requires) {
            return None;
        }
        let allowed = match spec.max_per_executor {
            Some(most) => most.saturating_sub(self.placed_on(key, slot)),
            None => u32::MAX,
        };
        let is_remote = !has(&spec.data_rack);
        Some(Candidate {
            slot,
            ticket,
            allowed,
            is_remote,
        })
    }

    fn placed_on(&self, key: StepKey, slot: ExecutorSlot) -> u32 {
        let tasks = &self.fleet.get(slot).tasks;
        tasks.range(key.task(0)..=key.task(u32::MAX)).count() as u32
    }

    /// Requests the start of a task and reserves its resources. Returns false if the executor's clock has not been read.
    pub(super) fn start(
        &mut self,
        task: TaskKey,
        candidate: &Candidate,
        number: RunNumber,
        spec: &StepSpec,
        pass: &mut Pass,
    ) -> bool {
        let now = pass.now;
        let slot = candidate.slot;
        let lease = self.limits.lease;
        let Some(lease_end_ms) = self.fleet.get_mut(slot).clock.grant(lease, now) else {
            return false;
        };
        let preemptible_rank = self.preemptible_rank(task.step());
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return false;
        };
        let is_long_running = job.is_long_running(task.step());
        let payload = Arc::clone(job.record().spec().payload());
        let waited = now.since(job.record().accepted());
        let Some(step) = job.step_mut(task.step()) else {
            return false;
        };
        step.set_phase(task.index(), TaskPhase::Active);
        step.raise_run_number(task.index(), number);
        let checkpoint = step.attempts(task.index()).checkpoint.clone();
        let clock_generation = self.fleet.get(slot).clock.generation();
        let incarnation = self.fleet.get(slot).incarnation();
        let executor = &self.fleet.get(slot).entry;
        tracing::info!(
            %task, run = %number, executor = %executor.id, free = %pass.free_capacity(slot).free,
            resumes = checkpoint.is_some(), waited_ms = waited.get(), "dispatch: starting task"
        );
        self.effects.push(Effect::Start(StartRequest {
            slot,
            executor: executor.id.clone(),
            incarnation,
            address: executor.address,
            task,
            number,
            payload,
            checkpoint,
            ticket: candidate.ticket.clone(),
            lease_end_ms,
            clock_generation,
            epoch: self.epoch,
        }));
        let need = spec.reserved();
        pass.free_capacity_mut(slot).take(&need);
        let run = Run {
            task,
            number,
            slot,
            need,
            is_long_running,
            phase: RunPhase::Starting,
            requested_at: now,
            preemptible_rank,
            progress: (0, now),
            incarnation: None,
        };
        self.runs.insert(run, &mut self.fleet);
        true
    }

    /// Returns a new run number for a task, or for its gang.
    pub(super) fn next_number(&mut self, task: TaskKey) -> Option<RunNumber> {
        let floor = RunNumber::before_first(self.epoch);
        let step = self.jobs.get_mut(task.job())?.step_mut(task.step())?;
        Some(step.attempts_mut(task.index()).next_number(floor))
    }
}
