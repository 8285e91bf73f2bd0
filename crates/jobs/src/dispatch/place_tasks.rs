use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::plan::{Candidate, Candidates};
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

impl Core {
    /// Starts as many of the independent tasks of a step as there is capacity for.
    pub(super) fn place_tasks(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &mut Pass,
    ) {
        let mut candidates = self.candidates(key, spec, queue, pass);
        if candidates.is_empty() && queue.advice.is_none() {
            return;
        }
        let idle = self.startable_tasks(key, pass.now);
        let mut remaining = idle.len() as u32;
        for index in idle {
            let Some(best) = best_fit(&candidates, spec, pass) else {
                break;
            };
            let task = key.task(index);
            let Some(number) = self.next_number(task) else {
                break;
            };
            let candidate = candidates[best].clone();
            if !self.start(task, &candidate, number, spec, pass) {
                candidates.remove(best);
                continue;
            }
            candidates[best].allowed = candidate.allowed.saturating_sub(1);
            remaining -= 1;
        }
        if remaining > 0 && queue.advice.is_some() {
            self.request_task_advice(key, spec, queue, remaining, pass);
        }
    }
}

/// Returns the candidate near the data with the fewest free processors, to avoid fragmenting large free capacity.
fn best_fit(candidates: &Candidates, spec: &StepSpec, pass: &Pass) -> Option<usize> {
    let need = spec.reserved();
    let fits = |c: &Candidate| c.allowed > 0 && pass.free_capacity(c.slot).fits(&need) > 0;
    let fitting = candidates.iter().enumerate().filter(|(_, c)| fits(c));
    let best = fitting.min_by_key(|(_, c)| {
        let conflicts_with_reservation = pass.conflicts_with_reservation(c.slot, &need);
        (
            c.is_remote,
            conflicts_with_reservation,
            pass.free_capacity(c.slot).free.cpu,
            c.slot,
        )
    });
    best.map(|(i, _)| i)
}
