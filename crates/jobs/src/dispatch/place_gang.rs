use std::collections::BTreeMap;

use lagoon_core::unit::{Millis, Timestamp};
use smallvec::SmallVec;

use crate::advice::Approval;
use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::plan::{Candidate, Candidates};
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Time for which a ticket has to be valid when work is preempted for a gang: a stop takes up to 400 ms, its listing and
/// the starts take the rest.
pub(super) const STOP_MARGIN: Millis = Millis::new(600);

/// Number of gang tasks by candidate.
type Placement = SmallVec<[(Candidate, u32); 16]>;

impl Core {
    /// Starts all tasks of a gang at once, or reserves capacity for them.
    pub(super) fn place_gang(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &mut Pass,
    ) {
        let step = self.jobs.get(key.job()).and_then(|job| job.step(key));
        // Tasks of an earlier run that may still be running would meet the tasks of the next one.
        if step.is_none_or(|step| step.pending() < step.count())
            || (self.startable_tasks(key, pass.now).len() as u32) < spec.count
        {
            return;
        }
        pass.cache_reclaimable(|preemption| self.reclaimable_resources(preemption));
        let candidates = self.candidates(key, spec, queue, pass);
        let fits_now =
            |c: &Candidate, pass: &Pass| pass.free_capacity(c.slot).fits(&spec.reserved());
        match self.distribute(key, &candidates, spec, pass, fits_now) {
            Some(placement) => self.start_gang(key, spec, &placement, pass),
            None => {
                // The reservation takes capacity from the pass, so the request has to be decided first.
                if queue.advice.is_some() {
                    self.request_gang_advice(key, spec, queue, pass);
                }
                let reserved = self.reserve_for_gang(key, spec, queue, pass);
                if queue.advice.is_some() && !reserved.is_empty() {
                    self.renew_gang_tickets(key, queue, reserved, pass);
                }
            }
        }
    }

    /// Distributes the tasks over candidates, on one rack if the step prefers that and one rack can hold them.
    fn distribute(
        &self,
        key: StepKey,
        candidates: &Candidates,
        spec: &StepSpec,
        pass: &Pass,
        fits: impl Fn(&Candidate, &Pass) -> u32,
    ) -> Option<Placement> {
        if spec.prefers_one_rack {
            let mut racks: BTreeMap<_, Candidates> = BTreeMap::new();
            for candidate in candidates {
                let rack = self.fleet.get(candidate.slot).entry.rack.clone();
                racks.entry(rack).or_default().push(candidate.clone());
            }
            let on_one = racks
                .values()
                .find_map(|rack| fill(key, rack, spec, pass, &fits));
            if on_one.is_some() {
                return on_one;
            }
        }
        fill(key, candidates, spec, pass, &fits)
    }

    fn start_gang(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        placement: &Placement,
        pass: &mut Pass,
    ) {
        let Some(number) = self.next_number(key.task(0)) else {
            return;
        };
        let mut index = 0;
        for (candidate, tasks) in placement {
            for _ in 0..*tasks {
                if !self.start(key.task(index), candidate, number, spec, pass) {
                    self.stop_step(key.task(0));
                    return;
                }
                index += 1;
            }
        }
    }

    /// Reserves capacity for a gang, so that work placed later in the pass does not take it, and preempts less urgent work
    /// there. Returns the executors if all tasks fit once preempted work has stopped, and an empty list otherwise.
    fn reserve_for_gang(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &mut Pass,
    ) -> Vec<ExecutorSlot> {
        if !pass.may_reserve() {
            return Vec::new();
        }
        let known = self.approved_candidates(key, spec, queue, pass.now);
        let need = spec.reserved();
        let fits_after_preemption =
            |c: &Candidate, pass: &Pass| pass.capacity_after_preemption(c.slot).fits(&need);
        if let Some(placement) = self.distribute(key, &known, spec, pass, fits_after_preemption) {
            pass.count_reservation();
            // Without tickets the capacity would be free before the gang can start, and less urgent work would take it again.
            let may_start =
                queue.advice.is_none() || placement.iter().all(|(c, _)| c.ticket.is_some());
            let mut reserved = Vec::new();
            for (candidate, tasks) in placement {
                let total = need.checked_mul(tasks).unwrap_or(need);
                if may_start {
                    self.preempt(candidate.slot, &total, queue, pass);
                }
                pass.reserve(key, candidate.slot, &total);
                reserved.push(candidate.slot);
            }
            return reserved;
        }
        let fits_when_empty =
            |c: &Candidate, pass: &Pass| pass.free_capacity(c.slot).fits_empty(&need);
        if pass.may_reserve_idle()
            && let Some(placement) = self.distribute(key, &known, spec, pass, fits_when_empty)
        {
            pass.count_idle_reservation();
            for (candidate, tasks) in placement {
                let total = need.checked_mul(tasks).unwrap_or(need);
                pass.reserve(key, candidate.slot, &total);
            }
        }
        Vec::new()
    }

    /// Returns executors that may run the step, with their tickets if these are valid until preempted work has stopped.
    pub(super) fn approved_candidates(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        now: Timestamp,
    ) -> Candidates {
        if queue.advice.is_none() {
            let all = self.fleet.of_service(&queue.service).iter();
            return all
                .filter_map(|slot| self.candidate(key, *slot, None, spec, queue))
                .collect();
        }
        let approvals = self.advice.step(key).map(|advice| &advice.approvals[..]);
        let candidate = |approval: &Approval| {
            let is_valid = approval.valid_until > now.after(STOP_MARGIN)
                && self.fleet.get(approval.slot).incarnation() == approval.incarnation;
            let ticket = is_valid.then(|| approval.ticket.clone());
            self.candidate(key, approval.slot, ticket, spec, queue)
        };
        let approvals = approvals.unwrap_or_default().iter();
        approvals.filter_map(candidate).collect()
    }
}

/// Assigns tasks to the candidates with the most free processors first, so that the gang runs on few executors. Executors
/// on which the gang has a reservation come before others, because work was preempted there for it.
fn fill(
    key: StepKey,
    candidates: &Candidates,
    spec: &StepSpec,
    pass: &Pass,
    fits: &impl Fn(&Candidate, &Pass) -> u32,
) -> Option<Placement> {
    let mut order: SmallVec<[(&Candidate, u32); 16]> = candidates
        .iter()
        .map(|c| (c, fits(c, pass).min(c.allowed)))
        .filter(|(_, tasks)| *tasks > 0)
        .collect();
    order.sort_by_key(|(c, _)| {
        (
            c.is_remote,
            !pass.had_reservation(key, c.slot),
            c.ticket.is_none(),
            std::cmp::Reverse(pass.free_capacity(c.slot).free.cpu),
            c.slot,
        )
    });
    let mut placement = Placement::new();
    let mut remaining = spec.count;
    for (candidate, tasks) in order {
        let tasks = tasks.min(remaining);
        placement.push((candidate.clone(), tasks));
        remaining -= tasks;
        if remaining == 0 {
            return Some(placement);
        }
    }
    None
}
