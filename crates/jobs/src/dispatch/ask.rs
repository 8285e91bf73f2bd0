use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::place_gang::STOP_MARGIN;
use crate::dispatch::plan::Candidate;
use crate::dispatch::{AskOrder, Order};
use crate::fleet::{ExecutorSlot, Room};
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Most executors that one question may name; the platform's limit.
const MAX_NAMED: usize = 100;
/// Fewest executors that a first question names, because a few may all be rejected.
const MIN_NAMED: usize = 4;
/// Places sought for each task, so that a step is not stopped by the one executor that fills up meanwhile.
const SPARE_PLACES: f64 = 1.5;
/// Places sought for each member of a gang. A question's fixed part costs more than naming twice as many executors, and
/// with few good ones a gang waits for room on just these.
const SPARE_GANG_PLACES: f64 = 4.0;
/// Time of the adviser that a task may take. A question waits until it can start so many tasks, because all lanes
/// together answer a few dozen questions a second.
const COST_A_TASK_MS: f64 = 20.0;
/// Time without room on the executors known to be good after which a gang asks for more.
const WIDEN_AFTER: Millis = Millis::new(800);

impl Core {
    /// Asks where independent tasks may run: on executors with room that are known to be good but whose tickets have
    /// expired, and on others with room as long as those do not suffice.
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
        let known = self.known_good(key, spec, queue, pass.now);
        let fits = |c: &Candidate| self.unpromised(c.slot, pass).fits(&need).min(c.allowed);
        let is_valid = |slot| valid.iter().any(|c| c.slot == slot);
        let mut named: Vec<ExecutorSlot> = Vec::new();
        let mut expected = 0.0;
        for candidate in known.iter().filter(|c| !is_valid(c.slot)) {
            let places = fits(candidate);
            if places > 0 {
                expected += f64::from(places.min(left));
                named.push(candidate.slot);
            }
        }
        let wanted = f64::from(left) * SPARE_PLACES;
        if expected < wanted {
            let missing = wanted - expected;
            let others = self.unjudged(key, spec, queue, missing, pass);
            let share = self.advice.good_share(&queue.name);
            for slot in others {
                let places = self.unpromised(slot, pass).fits(&need).min(left);
                expected += f64::from(places) * share;
                named.push(slot);
            }
        }
        let cost = queue
            .advice
            .map_or(0.0, |cost| cost.of(named.len()).get() as f64);
        let share = self.advice.good_share(&queue.name);
        let executors = self.fleet.of_service(&queue.service).len() as f64;
        let enough = (cost / COST_A_TASK_MS).min(f64::from(left).min(executors) * share);
        if expected > 0.0 && (expected >= enough || self.advice.has_waited(key, pass.now)) {
            let promised = |slot: ExecutorSlot| {
                let places = f64::from(self.unpromised(slot, pass).fits(&need).min(left));
                need.checked_mul((places * share).ceil() as u32)
                    .unwrap_or(need)
            };
            let named = named
                .into_iter()
                .map(|slot| (slot, promised(slot)))
                .collect();
            self.ask(key, queue, named, pass.now);
        }
    }

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
            .map(|c| {
                pass.room_soon(c.slot, queue.rank)
                    .fits(&need)
                    .min(c.allowed)
            })
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

    /// Returns the room of an executor less what open questions of other steps are expected to use.
    fn unpromised(&self, slot: ExecutorSlot, pass: &Pass) -> Room {
        let mut room = *pass.room(slot);
        room.take(&self.advice.promised(slot));
        room
    }

    /// Tells whether a question for the step may be asked now and a lane is free for the shortest one. Asked first,
    /// because the choice of executors to name goes over the whole fleet.
    fn may_ask(&mut self, key: StepKey, queue: &Queue, pass: &Pass) -> bool {
        let least = queue.advice.map(|cost| cost.of(1));
        self.advice.may_ask(key, pass.now)
            && least.is_some_and(|cost| self.advice.has_lane(cost, pass.now))
    }

    /// Tells whether a ticket for the step on one of these executors ends before room could be made there.
    fn has_expired(&self, key: StepKey, slots: &[ExecutorSlot], now: Timestamp) -> bool {
        let grants = self.advice.step(key).map(|advice| &advice.grants[..]);
        let mut grants = grants.unwrap_or_default().iter();
        grants
            .any(|grant| slots.contains(&grant.slot) && grant.valid_until <= now.after(STOP_MARGIN))
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
        // Gangs make room for themselves by displacing others, and wait for the rest; single tasks take what is free.
        let places = |slot: ExecutorSlot| {
            if !spec.gang {
                let now = self.unpromised(slot, pass).fits(&need).min(spec.count);
                return (u64::from(now), now);
            }
            let now = pass.room(slot).fits(&need).min(spec.count);
            let soon = pass.room_soon(slot, queue.rank).fits(&need).min(spec.count);
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

    fn ask(
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
        self.orders.push(Order::Ask(AskOrder {
            member,
            step: key,
            named,
            cost,
            asked: now,
        }));
    }
}

fn without_promise(slots: Vec<ExecutorSlot>) -> Vec<(ExecutorSlot, Resources)> {
    slots
        .into_iter()
        .map(|slot| (slot, Resources::ZERO))
        .collect()
}

/// Spreads the questions of different steps over executors with equal room.
fn scatter(key: StepKey, slot: ExecutorSlot) -> u32 {
    let mixed = key.job().low_bits() ^ slot.get().wrapping_mul(0x9e37_79b9);
    mixed.wrapping_mul(0x85eb_ca6b) >> 8
}
