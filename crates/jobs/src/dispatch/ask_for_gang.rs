use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::place_gang::STOP_MARGIN;
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Places sought for each member of a gang. A question's fixed part costs more than naming twice as many executors, and
/// with few good ones a gang waits for room on just these.
const SPARE_GANG_PLACES: f64 = 4.0;
/// Time without room on the executors known to be good after which a gang asks for more.
const WIDEN_AFTER: Millis = Millis::new(800);

impl Core {
    /// Asks where a gang may run that has no room yet: for more executors as long as those known can't hold it.
    pub(super) fn ask_for_gang(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &Pass,
    ) {
        if !self.may_ask(key, queue, pass) {
            return;
        }
        let need = spec.reserved();
        let known = self.known_good(key, spec, queue, pass.now);
        let has_soon: u32 = known
            .iter()
            .map(|c| pass.room_soon(c.slot).fits(&need).min(c.allowed))
            .sum();
        if has_soon >= spec.count {
            return;
        }
        let could_hold: u32 = known
            .iter()
            .map(|c| pass.room(c.slot).fits_empty(&need).min(c.allowed))
            .sum();
        let advice = self.advice.step(key);
        let waits_long = advice.is_some_and(|a| pass.now.since(a.answered) > WIDEN_AFTER);
        if could_hold >= spec.count && !waits_long {
            return;
        }
        let wanted = f64::from(spec.count) * SPARE_GANG_PLACES;
        let missing = wanted - f64::from(if waits_long { has_soon } else { could_hold });
        if missing > 0.0 {
            let named = self.unjudged(key, spec, queue, missing, pass);
            if !named.is_empty() {
                self.ask(key, queue, without_promise(named), pass.now);
            }
        }
    }

    /// Asks again for the executors on which a gang has a claim, if their tickets end before it can start. An answer
    /// takes about as long as a stop, so this is done while room is being made.
    pub(super) fn renew_for_gang(
        &mut self,
        key: StepKey,
        queue: &Queue,
        claimed: Vec<ExecutorSlot>,
        pass: &Pass,
    ) {
        if self.may_ask(key, queue, pass) && self.has_expired(key, &claimed, pass.now) {
            self.ask(key, queue, without_promise(claimed), pass.now);
        }
    }

    /// Tells whether a ticket for the step on one of these executors ends before room could be made there.
    fn has_expired(&self, key: StepKey, slots: &[ExecutorSlot], now: Timestamp) -> bool {
        let grants = self.advice.step(key).map(|advice| &advice.grants[..]);
        let mut grants = grants.unwrap_or_default().iter();
        grants
            .any(|grant| slots.contains(&grant.slot) && grant.valid_until <= now.after(STOP_MARGIN))
    }
}

fn without_promise(slots: Vec<ExecutorSlot>) -> Vec<(ExecutorSlot, Resources)> {
    slots
        .into_iter()
        .map(|slot| (slot, Resources::ZERO))
        .collect()
}
