use lagoon_core::unit::Resources;
use smallvec::SmallVec;

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::plan::Candidate;
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Places sought for each task, so that a step is not stopped by the one executor that fills up meanwhile.
const SPARE_PLACES: f64 = 1.5;
/// Time of the adviser that a task may take. A question waits until it can start so many tasks, because all lanes
/// together answer a few dozen questions a second.
const COST_A_TASK_MS: f64 = 20.0;

/// Executors to name, each with the tasks that are expected to start there.
type Named = SmallVec<[(ExecutorSlot, f64); 32]>;

impl Core {
    /// Asks where independent tasks may run, once the answer is expected to start enough of them.
    pub(super) fn ask_for_each(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        left: u32,
        pass: &mut Pass,
    ) {
        let Some(cost) = queue.advice else {
            return;
        };
        if !self.may_ask(key, queue, pass) || !pass.take_search() {
            return;
        }
        let named = self.with_room(key, spec, queue, left, pass);
        let expected: f64 = named.iter().map(|(_, places)| places).sum();
        let cost_ms = cost.of(named.len()).get() as f64;
        // A small fleet or a small step can't fill a question.
        let executors = self.fleet.of_service(&queue.service).len() as f64;
        let most = f64::from(left).min(executors) * self.advice.good_share(&queue.name);
        let enough = (cost_ms / COST_A_TASK_MS).min(most);
        let is_worth_it = expected >= enough || self.advice.has_waited(key, pass.now);
        if expected > 0.0 && is_worth_it {
            let need = spec.reserved();
            let promised = |places: f64| need.checked_mul(places.ceil() as u32).unwrap_or(need);
            let named: Vec<(ExecutorSlot, Resources)> = named
                .into_iter()
                .map(|(slot, places)| (slot, promised(places)))
                .collect();
            self.ask(key, queue, named, pass.now);
        }
    }

    /// Returns executors with room: those known to be good whose tickets have expired, and others as long as those do not
    /// suffice.
    fn with_room(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        left: u32,
        pass: &Pass,
    ) -> Named {
        let need = spec.reserved();
        let places = |slot| self.unpromised(slot, pass).fits(&need).min(left);
        let valid = self.candidates(key, spec, queue, pass);
        let known = self.known_good(key, spec, queue, pass.now);
        let has_expired = |c: &&Candidate| !valid.iter().any(|valid| valid.slot == c.slot);
        let renewed = known.iter().filter(has_expired);
        let mut named: Named = renewed
            .map(|c| (c.slot, f64::from(places(c.slot).min(c.allowed))))
            .filter(|(_, places)| *places > 0.0)
            .collect();
        let expected: f64 = named.iter().map(|(_, places)| places).sum();
        let missing = f64::from(left) * SPARE_PLACES - expected;
        if missing > 0.0 {
            let share = self.advice.good_share(&queue.name);
            let others = self.unjudged(key, spec, queue, missing, pass);
            named.extend(
                others
                    .into_iter()
                    .map(|slot| (slot, f64::from(places(slot)) * share)),
            );
        }
        named
    }
}
