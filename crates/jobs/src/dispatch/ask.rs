use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::plan::TICKET_MARGIN;
use crate::dispatch::{AskOrder, Order};
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Most executors that one question may name; the platform's limit.
const MAX_NAMED: usize = 100;
/// Fewest executors that a first question names, because a few may all be rejected.
const MIN_NAMED: usize = 4;
/// Places sought for each task, so that a step is not stopped by the one executor that fills up meanwhile.
const SPARE_PLACES: f64 = 1.5;
/// Time without room on the executors known to be good after which a gang asks for more.
const WIDEN_AFTER: Millis = Millis::new(800);

impl Core {
    /// Asks where independent tasks may run, if no executor with a valid ticket has room for them.
    pub(super) fn ask_for_each(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        left: u32,
        pass: &Pass,
    ) {
        if !self.may_ask(key, queue, pass) {
            return;
        }
        let need = spec.reserved();
        let valid = self.candidates(key, spec, queue, pass.now);
        let known = self.known_good(key, spec, queue);
        let is_valid = |slot| valid.iter().any(|c| c.slot == slot);
        let has_room = |slot: &ExecutorSlot| pass.room(*slot).fits(&need) > 0;
        let renew = known.iter().map(|c| c.slot).filter(|slot| !is_valid(*slot));
        let renew: Vec<ExecutorSlot> = renew.filter(has_room).collect();
        if !renew.is_empty() {
            self.ask(key, queue, renew, pass.now);
            return;
        }
        let places: u32 = known
            .iter()
            .map(|c| pass.room(c.slot).fits(&need).min(left))
            .sum();
        let missing = f64::from(left) * SPARE_PLACES - f64::from(places);
        let named = self.unjudged(key, spec, queue, missing, pass);
        if named.iter().any(has_room) {
            self.ask(key, queue, named, pass.now);
        }
    }

    /// Asks where a gang may run: for more executors as long as those known can't hold it, and again for those known
    /// once they have room.
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
        let known = self.known_good(key, spec, queue);
        let now_fits = |slot: ExecutorSlot| pass.room(slot).fits(&need);
        let has_room: u32 = known.iter().map(|c| now_fits(c.slot).min(c.allowed)).sum();
        let soon_fits = |slot: ExecutorSlot| {
            let mut room = *pass.room(slot);
            room.free = room.free.saturating_add(self.free_soon(slot, queue));
            room.fits(&need)
        };
        let has_soon: u32 = known.iter().map(|c| soon_fits(c.slot).min(c.allowed)).sum();
        // An answer takes about as long as a stop, so tickets are renewed while room is being made.
        if has_soon >= spec.count && self.has_expired(key, pass.now) {
            let with_room = known.iter().filter(|c| soon_fits(c.slot) > 0);
            let renew = with_room.map(|c| c.slot).collect();
            self.ask(key, queue, renew, pass.now);
            return;
        }
        if has_soon >= spec.count {
            return;
        }
        let empty_fits = |slot: ExecutorSlot| pass.room(slot).fits_empty(&need);
        let could_hold: u32 = known
            .iter()
            .map(|c| empty_fits(c.slot).min(c.allowed))
            .sum();
        let waits_long = self
            .advice
            .step(key)
            .is_some_and(|advice| pass.now.since(advice.answered) > WIDEN_AFTER);
        let wanted = f64::from(spec.count) * SPARE_PLACES;
        let missing = wanted - f64::from(if waits_long { has_room } else { could_hold });
        if missing > 0.0 {
            let named = self.unjudged(key, spec, queue, missing, pass);
            if !named.is_empty() {
                self.ask(key, queue, named, pass.now);
            }
        }
    }

    /// Tells whether a question for the step may be asked now and a lane is free for the shortest one. Asked first,
    /// because the choice of executors to name goes over the whole fleet.
    fn may_ask(&self, key: StepKey, queue: &Queue, pass: &Pass) -> bool {
        let least = queue.advice.map(|cost| cost.of(1));
        self.advice.may_ask(key, pass.now) && least.is_some_and(|cost| self.advice.has_lane(cost))
    }

    /// Tells whether a ticket for the step has expired.
    fn has_expired(&self, key: StepKey, now: Timestamp) -> bool {
        let grants = self.advice.step(key).map(|advice| &advice.grants[..]);
        let mut grants = grants.unwrap_or_default().iter();
        grants.any(|grant| grant.valid_until <= now.after(TICKET_MARGIN))
    }

    /// Returns executors that the adviser has not judged for the step, those with the most room first, as many as are
    /// expected to bring `missing` places.
    fn unjudged(
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
        let places = |slot: ExecutorSlot| {
            let room = pass.room(slot);
            let now = room.fits(&need).min(spec.count);
            let empty = room.fits_empty(&need).min(spec.count);
            (u64::from(now) * 2 + u64::from(empty), now.max(empty))
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

    fn ask(&mut self, key: StepKey, queue: &Queue, mut slots: Vec<ExecutorSlot>, now: Timestamp) {
        slots.truncate(MAX_NAMED);
        let Some(cost) = queue.advice else {
            return;
        };
        let cost = cost.of(slots.len());
        let Some(member) = self.advice.book(key, cost) else {
            return;
        };
        let name = |slot: ExecutorSlot| (slot, self.fleet.get(slot).entry.id.clone());
        let named: Vec<_> = slots.into_iter().map(name).collect();
        tracing::debug!(step = %key, %member, named = named.len(), at = %now, "dispatch: asking for advice");
        self.orders.push(Order::Ask(AskOrder {
            member,
            step: key,
            named,
            cost,
        }));
    }
}

/// Spreads the questions of different steps over executors with equal room.
fn scatter(key: StepKey, slot: ExecutorSlot) -> u32 {
    let mixed = key.job().low_bits() ^ slot.get().wrapping_mul(0x9e37_79b9);
    mixed.wrapping_mul(0x85eb_ca6b) >> 8
}
