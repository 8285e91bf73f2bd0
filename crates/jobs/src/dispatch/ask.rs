use lagoon_core::unit::{Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::{AdviceRequest, Effect};
use crate::fleet::{ExecutorSlot, FreeCapacity};
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Most executors that one question may name; the platform's limit.
const MAX_NAMED: usize = 100;
/// Fewest executors that a first question names, because a few may all be rejected.
const MIN_NAMED: usize = 4;

impl Core {
    /// Returns the room of an executor less what open questions of other steps are expected to use.
    pub(super) fn unpromised(&self, slot: ExecutorSlot, pass: &Pass) -> FreeCapacity {
        let mut room = *pass.room(slot);
        room.take(&self.advice.promised(slot));
        room
    }

    /// Tells whether a question for the step may be asked now and a lane is free for the shortest one. Asked first,
    /// because the choice of executors to name goes over the whole fleet.
    pub(super) fn may_ask(&mut self, key: StepKey, queue: &Queue, pass: &Pass) -> bool {
        let least = queue.advice.map(|cost| cost.of(1));
        self.advice.may_ask(key, pass.now)
            && least.is_some_and(|cost| self.advice.has_lane(cost, pass.now))
    }

    /// Returns executors that the adviser has not judged for the step, those with the most room first, as many as are
    /// expected to bring `missing` places.
    pub(super) fn unjudged(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        missing: f64,
        pass: &Pass,
    ) -> Vec<ExecutorSlot> {
        let need = spec.reserved();
        let advice = self.advice.step(key);
        let is_judged = |slot| advice.is_some_and(|advice| advice.is_judged(slot));
        // Gangs make room for themselves by displacing others, and wait for the rest; single tasks take what is free.
        let places = |slot: ExecutorSlot| {
            if !spec.gang {
                let now = self.unpromised(slot, pass).fits(&need).min(spec.count);
                return (u64::from(now), now);
            }
            let now = pass.room(slot).fits(&need).min(spec.count);
            let soon = pass.room_soon(slot).fits(&need).min(spec.count);
            let empty = pass.room(slot).fits_empty(&need).min(spec.count);
            let score = u64::from(now) + 4 * u64::from(soon) + u64::from(empty);
            (score, if soon > 0 { soon } else { empty })
        };
        let slots = self.fleet.of_service(&queue.service).iter().copied();
        let mut usable: Vec<(u64, u32, u32, ExecutorSlot)> = slots
            .filter(|slot| !is_judged(*slot))
            .filter(|slot| self.candidate(key, *slot, None, spec, queue).is_some())
            .map(|slot| {
                let (score, places) = places(slot);
                (score, scatter(key, slot), places, slot)
            })
            .filter(|(score, ..)| *score > 0)
            .collect();
        usable.sort_unstable_by(|a, b| b.cmp(a));
        let share = self.advice.good_share(&queue.name).max(0.1);
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

    pub(super) fn ask(
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
        let Some(member) = self.advice.book(key, cost, &slots, now) else {
            return;
        };
        let name =
            |(slot, _): (ExecutorSlot, Resources)| (slot, self.fleet.get(slot).entry.id.clone());
        let named: Vec<_> = slots.into_iter().map(name).collect();
        tracing::debug!(step = %key, %member, named = named.len(), at = %now, "dispatch: asking for advice");
        self.orders.push(Effect::RequestAdvice(AdviceRequest {
            member,
            step: key,
            named,
            cost,
            asked: now,
        }));
    }
}

/// Spreads the questions of different steps over executors with equal room.
fn scatter(key: StepKey, slot: ExecutorSlot) -> u32 {
    let mixed = key.job().low_bits() ^ slot.get().wrapping_mul(0x9e37_79b9);
    mixed.wrapping_mul(0x85eb_ca6b) >> 8
}
