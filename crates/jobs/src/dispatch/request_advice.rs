use lagoon_core::unit::{Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::{AdviceRequest, Effect};
use crate::fleet::{ExecutorSlot, FreeCapacity};
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Largest number of executors that one request may name; the platform's limit.
const MAX_NAMED: usize = 100;
/// Smallest number of executors that a request names if more are available, because a few may all be rejected.
const MIN_NAMED: usize = 4;

impl Core {
    /// Returns the free capacity of an executor less what the requests in flight for other steps are expected to use.
    pub(super) fn uncommitted_capacity(&self, slot: ExecutorSlot, pass: &Pass) -> FreeCapacity {
        let mut free_capacity = *pass.free_capacity(slot);
        free_capacity.take(&self.advice.tentative(slot));
        free_capacity
    }

    /// Returns true if a request for the step may be sent now and an endpoint can take the cheapest one. Callers check this
    /// first, because choosing the executors to name scans the whole fleet.
    pub(super) fn may_request(&mut self, key: StepKey, queue: &Queue, pass: &Pass) -> bool {
        let least = queue.advice.map(|cost| cost.of(1));
        self.advice.may_request(key, pass.now)
            && least.is_some_and(|cost| self.advice.can_serve(cost, pass.now))
    }

    /// Returns executors that the adviser has not evaluated for the step, most capacity first, as many as are expected to
    /// yield `missing` places.
    pub(super) fn unevaluated(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        missing: f64,
        pass: &Pass,
    ) -> Vec<ExecutorSlot> {
        let need = spec.reserved();
        let advice = self.advice.step(key);
        let is_evaluated = |slot| advice.is_some_and(|advice| advice.is_evaluated(slot));
        // A gang preempts other work and waits for the rest of its capacity; independent tasks take what is free.
        let places = |slot: ExecutorSlot| {
            if !spec.gang {
                let now = self
                    .uncommitted_capacity(slot, pass)
                    .fits(&need)
                    .min(spec.count);
                return (u64::from(now), now);
            }
            let now = pass.free_capacity(slot).fits(&need).min(spec.count);
            let reclaimable = pass
                .capacity_after_preemption(slot)
                .fits(&need)
                .min(spec.count);
            let empty = pass.free_capacity(slot).fits_empty(&need).min(spec.count);
            let score = u64::from(now) + 4 * u64::from(reclaimable) + u64::from(empty);
            (score, if reclaimable > 0 { reclaimable } else { empty })
        };
        let slots = self.fleet.of_service(&queue.service).iter().copied();
        let mut usable: Vec<(u64, u32, u32, ExecutorSlot)> = slots
            .filter(|slot| !is_evaluated(*slot))
            .filter(|slot| self.candidate(key, *slot, None, spec, queue).is_some())
            .map(|slot| {
                let (score, places) = places(slot);
                (score, tie_breaker(key, slot), places, slot)
            })
            .filter(|(score, ..)| *score > 0)
            .collect();
        usable.sort_unstable_by(|a, b| b.cmp(a));
        let share = self.advice.approval_rate(&queue.name).max(0.1);
        let mut expected = 0.0;
        let mut executors = Vec::new();
        for (_, _, places, slot) in usable {
            let enough = expected >= missing && executors.len() >= MIN_NAMED;
            if enough || executors.len() >= MAX_NAMED {
                break;
            }
            expected += f64::from(places) * share;
            executors.push(slot);
        }
        executors
    }

    pub(super) fn request_advice(
        &mut self,
        key: StepKey,
        queue: &Queue,
        mut slots: Vec<(ExecutorSlot, Resources)>,
        now: Timestamp,
    ) {
        slots.truncate(MAX_NAMED);
        let Some(cost) = queue.advice else {
            return;
        };
        let cost = cost.of(slots.len());
        let Some(member) = self.advice.begin_request(key, cost, &slots, now) else {
            return;
        };
        let name =
            |(slot, _): (ExecutorSlot, Resources)| (slot, self.fleet.get(slot).entry.id.clone());
        let executors: Vec<_> = slots.into_iter().map(name).collect();
        tracing::debug!(step = %key, %member, executors = executors.len(), at = %now, "dispatch: requesting advice");
        self.effects.push(Effect::RequestAdvice(AdviceRequest {
            member,
            step: key,
            executors,
            cost,
            requested_at: now,
        }));
    }
}

/// Spreads the requests of different steps over executors with equal capacity.
fn tie_breaker(key: StepKey, slot: ExecutorSlot) -> u32 {
    let mixed = key.job().low_bits() ^ slot.get().wrapping_mul(0x9e37_79b9);
    mixed.wrapping_mul(0x85eb_ca6b) >> 8
}
