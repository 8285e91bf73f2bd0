use lagoon_core::unit::{Millis, Resources};
use smallvec::SmallVec;

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::plan::Candidate;
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Places requested for each task, so that an executor that fills up in the meantime does not block the step.
const PLACES_PER_TASK: f64 = 1.5;
/// Largest cost of a request for each task that it is expected to start. A request is deferred until it can start enough
/// tasks, because all endpoints together answer only a few dozen requests a second.
const MAX_COST_PER_TASK_MS: f64 = 20.0;

/// Delay after a search that found no executor with capacity for the step. Several passes with searches for other steps take place
/// meanwhile, and urgent work that finds capacity later hardly waits.
const SEARCH_RETRY: Millis = Millis::new(50);

/// Executors to name, each with the number of tasks that are expected to start there.
type NamedExecutors = SmallVec<[(ExecutorSlot, f64); 32]>;

impl Core {
    /// Requests advice for independent tasks once the response is expected to start enough of them.
    pub(super) fn request_task_advice(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        remaining: u32,
        pass: &mut Pass,
    ) {
        let Some(cost) = queue.advice else {
            return;
        };
        if !self.may_request(key, queue, pass) || !pass.take_search(&spec.reserved()) {
            return;
        }
        let named = self.executors_with_capacity(key, spec, queue, remaining, pass);
        let expected: f64 = named.iter().map(|(_, places)| places).sum();
        if expected <= 0.0 {
            // The next passes have searches for other steps.
            return self.advice.postpone(key, pass.now.after(SEARCH_RETRY));
        }
        let cost_ms = cost.of(named.len()).get() as f64;
        // A small fleet or a small step may never reach the number of tasks that pays for a request.
        let executors = self.fleet.of_service(&queue.service).len() as f64;
        let max_expected =
            f64::from(remaining).min(executors) * self.advice.approval_rate(&queue.name);
        let min_expected = (cost_ms / MAX_COST_PER_TASK_MS).min(max_expected);
        let is_worthwhile = expected >= min_expected || self.advice.defer(key, pass.now);
        if is_worthwhile {
            let need = spec.reserved();
            let tentative = |places: f64| need.checked_mul(places.ceil() as u32).unwrap_or(need);
            let named: Vec<(ExecutorSlot, Resources)> = named
                .into_iter()
                .map(|(slot, places)| (slot, tentative(places)))
                .collect();
            self.request_advice(key, queue, named, pass.now);
        }
    }

    /// Returns executors with free capacity: the approved ones whose tickets have expired, and unevaluated ones if those do
    /// not suffice.
    fn executors_with_capacity(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        remaining: u32,
        pass: &Pass,
    ) -> NamedExecutors {
        let need = spec.reserved();
        let places = |slot| {
            self.uncommitted_capacity(slot, pass)
                .fits(&need)
                .min(remaining)
        };
        let valid = self.candidates(key, spec, queue, pass);
        let known = self.approved_candidates(key, spec, queue, pass.now);
        let has_expired = |c: &&Candidate| !valid.iter().any(|valid| valid.slot == c.slot);
        let renewed = known.iter().filter(has_expired);
        let mut named: NamedExecutors = renewed
            .map(|c| (c.slot, f64::from(places(c.slot).min(c.allowed))))
            .filter(|(_, places)| *places > 0.0)
            .collect();
        let expected: f64 = named.iter().map(|(_, places)| places).sum();
        let missing = f64::from(remaining) * PLACES_PER_TASK - expected;
        if missing > 0.0 {
            let share = self.advice.approval_rate(&queue.name);
            let others = self.unevaluated(key, spec, queue, missing, pass);
            named.extend(
                others
                    .into_iter()
                    .map(|slot| (slot, f64::from(places(slot)) * share)),
            );
        }
        named
    }
}
