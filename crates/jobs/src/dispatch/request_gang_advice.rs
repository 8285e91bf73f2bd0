use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::place_gang::STOP_MARGIN;
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Places requested for each task of a gang. The fixed cost of a request exceeds that of naming twice as many executors,
/// and a gang with few approved executors waits for capacity on just these.
const PLACES_PER_GANG_TASK: f64 = 4.0;
/// Time after the last response at which a gang that has no capacity on the approved executors requests more of them.
const WIDEN_AFTER: Millis = Millis::new(800);

impl Core {
    /// Requests advice for a gang that can't start yet: about more executors, unless the approved ones could hold it.
    pub(super) fn request_gang_advice(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &Pass,
    ) {
        if !self.may_request(key, queue, pass) {
            return;
        }
        let need = spec.reserved();
        let known = self.approved_candidates(key, spec, queue, pass.now);
        let fits_after_preemption: u32 = known
            .iter()
            .map(|c| {
                pass.capacity_after_preemption(c.slot)
                    .fits(&need)
                    .min(c.allowed)
            })
            .fold(0, u32::saturating_add);
        if fits_after_preemption >= spec.count {
            return;
        }
        let fits_when_empty: u32 = known
            .iter()
            .map(|c| pass.free_capacity(c.slot).fits_empty(&need).min(c.allowed))
            .fold(0, u32::saturating_add);
        let advice = self.advice.step(key);
        let has_waited = advice.is_some_and(|a| pass.now.since(a.answered_at) > WIDEN_AFTER);
        if fits_when_empty >= spec.count && !has_waited {
            return;
        }
        let wanted = f64::from(spec.count) * PLACES_PER_GANG_TASK;
        let missing = wanted
            - f64::from(if has_waited {
                fits_after_preemption
            } else {
                fits_when_empty
            });
        if missing > 0.0 {
            let named = self.unevaluated(key, spec, queue, missing, pass);
            if !named.is_empty() {
                self.request_advice(key, queue, without_reservation(named), pass.now);
            }
        }
    }

    /// Requests new tickets for the executors on which a gang has reserved capacity, if theirs expire before it can start.
    /// A response takes about as long as a stop, so the tickets are renewed while other work is stopping.
    pub(super) fn renew_gang_tickets(
        &mut self,
        key: StepKey,
        queue: &Queue,
        reserved: Vec<ExecutorSlot>,
        pass: &Pass,
    ) {
        if self.may_request(key, queue, pass) && self.has_expired(key, &reserved, pass.now) {
            self.request_advice(key, queue, without_reservation(reserved), pass.now);
        }
    }

    /// Returns true if a ticket for the step on one of these executors expires before work there could be preempted.
    fn has_expired(&self, key: StepKey, slots: &[ExecutorSlot], now: Timestamp) -> bool {
        let approvals = self.advice.step(key).map(|advice| &advice.approvals[..]);
        let mut approvals = approvals.unwrap_or_default().iter();
        approvals.any(|approval| {
            slots.contains(&approval.slot) && approval.valid_until <= now.after(STOP_MARGIN)
        })
    }
}

fn without_reservation(slots: Vec<ExecutorSlot>) -> Vec<(ExecutorSlot, Resources)> {
    slots
        .into_iter()
        .map(|slot| (slot, Resources::ZERO))
        .collect()
}
