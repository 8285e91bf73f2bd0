use lagoon_core::unit::{Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::{AdviceRequest, Effect};
use crate::fleet::{ExecutorSlot, Room};
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Most executors that one question may name; the platform's limit.
const MAX_NAMED: usize = 100;
/// Fewest executors that a first question names, because a few may all be rejected.
const MIN_NAMED: usize = 4;

impl Core {
    /// Returns the room of an executor less what open questions of other steps are expected to use.
    pub(super) fn uncommitted_capacity(&self, slot: ExecutorSlot, pass: &Pass) -> Room {
        let mut free_capacity = *pass.free_capacity(slot);
        free_capacity.take(&self.advice.tentative(slot));
        free_capacity
    }

    /// Tells whether a question for the step may be asked now and a lane is free for the shortest one. Asked first,
    /// because the choice of executors to name goes over the whole fleet.
    pub(super) fn may_request(&mut self, key: StepKey, queue: &Queue, pass: &Pass) -> bool {
        let least = queue.advice.map(|cost| cost.of(1));
        self.advice.may_request(key, pass.now)
            && least.is_some_and(|cost| self.advice.can_serve(cost, pass.now))
    }

    /// Returns executors that the adviser has not judged for the step, those with the most room first, as many as are
    /// expected to bring `missing` places.
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
        // Gangs make room for themselves by displacing others, and wait for the rest; single tasks take what is free.
        let places = |slot: ExecutorSlot| {
            if !spec.gang {
                let now = self
                    .uncommitted_capacity(slot, pass)
                    .fits(&need)
                    .min(spec.count);
                return (u64::from(now), now);
            }
            let now = pass.free_capacity(slot).fits(&need).min(spec.count);
            let reclaimable = pass.reclaimable_capacity(slot).fits(&need).min(spec.count);
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
        let mut named = Vec::new();
        for (_, _, places, slot) in usable {
            let enough = expected >= missing && named.len() >= MIN_NAMED;
            if enough || named.len() >= MAX_NAMED {
                break;
            }
            expected += f64::from(places) * share;
            named.push(slot);
        }
        named
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
        let named: Vec<_> = slots.into_iter().map(name).collect();
        tracing::debug!(step = %key, %member, named = named.len(), at = %now, "dispatch: asking for advice");
        self.effects.push(Effect::RequestAdvice(AdviceRequest {
            member,
            step: key,
            executors: named,
            cost,
            requested_at: now,
        }));
    }
}

/// Spreads the questions of different steps over executors with equal room.
fn tie_breaker(key: StepKey, slot: ExecutorSlot) -> u32 {
    let mixed = key.job().low_bits() ^ slot.get().wrapping_mul(0x9e37_79b9);
    mixed.wrapping_mul(0x85eb_ca6b) >> 8
}
