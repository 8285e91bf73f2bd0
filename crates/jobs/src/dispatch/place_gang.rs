use std::collections::BTreeMap;

use lagoon_core::unit::{Millis, Timestamp};
use smallvec::SmallVec;

use crate::advice::Grant;
use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::plan::{Candidate, Candidates};
use crate::fleet::ExecutorSlot;
use crate::id::StepKey;
use crate::policy::Queue;
use crate::spec::StepSpec;

/// Time for which a ticket has to last when work is displaced for a gang: a stop takes up to 400 ms, its listing and the
/// starts the rest.
pub(super) const STOP_MARGIN: Millis = Millis::new(600);

/// Members of a gang by candidate.
type Shares = SmallVec<[(Candidate, u32); 16]>;

impl Core {
    /// Places all tasks of a gang at once, or claims room for them.
    pub(super) fn place_gang(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &mut Pass,
    ) {
        let step = self.jobs.get(key.job()).and_then(|job| job.step(key));
        // Members of an earlier run that are not settled would meet the members of the next one.
        if step.is_none_or(|step| step.pending() < step.count()) {
            return;
        }
        pass.note_soon(|precedence| self.free_soon(precedence));
        let candidates = self.candidates(key, spec, queue, pass);
        let now_fits = |c: &Candidate, pass: &Pass| pass.room(c.slot).fits(&spec.reserved());
        match self.share_out(key, &candidates, spec, pass, now_fits) {
            Some(shares) => self.start_gang(key, spec, &shares, pass),
            None => {
                // The claim takes room from the pass, so the question has to come first.
                if queue.advice.is_some() {
                    self.ask_for_gang(key, spec, queue, pass);
                }
                let claimed = self.claim_for_gang(key, spec, queue, pass);
                if queue.advice.is_some() && !claimed.is_empty() {
                    self.renew_for_gang(key, queue, claimed, pass);
                }
            }
        }
    }

    /// Divides the members among candidates, on one rack if that matters and works.
    fn share_out(
        &self,
        key: StepKey,
        candidates: &Candidates,
        spec: &StepSpec,
        pass: &Pass,
        fits: impl Fn(&Candidate, &Pass) -> u32,
    ) -> Option<Shares> {
        if spec.prefers_one_rack {
            let mut racks: BTreeMap<_, Candidates> = BTreeMap::new();
            for candidate in candidates {
                let rack = self.fleet.get(candidate.slot).entry.rack.clone();
                racks.entry(rack).or_default().push(candidate.clone());
            }
            let on_one = racks
                .values()
                .find_map(|rack| fill(key, rack, spec, pass, &fits));
            if on_one.is_some() {
                return on_one;
            }
        }
        fill(key, candidates, spec, pass, &fits)
    }

    fn start_gang(&mut self, key: StepKey, spec: &StepSpec, shares: &Shares, pass: &mut Pass) {
        let Some(number) = self.next_number(key.task(0)) else {
            return;
        };
        let mut index = 0;
        for (candidate, members) in shares {
            for _ in 0..*members {
                if !self.start(key.task(index), candidate, number, spec, pass) {
                    self.stop_step(key.task(0));
                    return;
                }
                index += 1;
            }
        }
    }

    /// Keeps later work off the executors on which a gang is to run, and displaces less urgent work there, so that
    /// there is room for all of it soon. Returns the executors if that is so.
    fn claim_for_gang(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        pass: &mut Pass,
    ) -> Vec<ExecutorSlot> {
        if !pass.has_claim() {
            return Vec::new();
        }
        let known = self.known_good(key, spec, queue, pass.now);
        let need = spec.reserved();
        let soon = |c: &Candidate, pass: &Pass| pass.room_soon(c.slot).fits(&need);
        if let Some(shares) = self.share_out(key, &known, spec, pass, soon) {
            pass.take_claim();
            // Without tickets the room would be free before the gang can start, and less urgent work would come back.
            let may_start =
                queue.advice.is_none() || shares.iter().all(|(c, _)| c.ticket.is_some());
            let mut claimed = Vec::new();
            for (candidate, members) in shares {
                let total = need.checked_mul(members).unwrap_or(need);
                if may_start {
                    self.displace(candidate.slot, &total, queue, pass);
                }
                pass.claim(key, candidate.slot, &total);
                claimed.push(candidate.slot);
            }
            return claimed;
        }
        let empty_fits = |c: &Candidate, pass: &Pass| pass.room(c.slot).fits_empty(&need);
        if pass.has_idle_claim()
            && let Some(shares) = self.share_out(key, &known, spec, pass, empty_fits)
        {
            pass.take_idle_claim();
            for (candidate, members) in shares {
                let total = need.checked_mul(members).unwrap_or(need);
                pass.claim(key, candidate.slot, &total);
            }
        }
        Vec::new()
    }

    /// Returns executors that may run the step, with their tickets if these last until room is made.
    pub(super) fn known_good(
        &self,
        key: StepKey,
        spec: &StepSpec,
        queue: &Queue,
        now: Timestamp,
    ) -> Candidates {
        if queue.advice.is_none() {
            let all = self.fleet.of_service(&queue.service).iter();
            return all
                .filter_map(|slot| self.candidate(key, *slot, None, spec, queue))
                .collect();
        }
        let grants = self.advice.step(key).map(|advice| &advice.grants[..]);
        let candidate = |grant: &Grant| {
            let is_valid = grant.valid_until > now.after(STOP_MARGIN)
                && self.fleet.get(grant.slot).incarnation == grant.incarnation;
            let ticket = is_valid.then(|| grant.ticket.clone());
            self.candidate(key, grant.slot, ticket, spec, queue)
        };
        let grants = grants.unwrap_or_default().iter();
        grants.filter_map(candidate).collect()
    }
}

/// Gives members to the candidates with the most free processors first, so that the gang is on few executors. Those on
/// which the gang has a claim come before others, because work was displaced there for it.
fn fill(
    key: StepKey,
    candidates: &Candidates,
    spec: &StepSpec,
    pass: &Pass,
    fits: &impl Fn(&Candidate, &Pass) -> u32,
) -> Option<Shares> {
    let mut order: SmallVec<[(&Candidate, u32); 16]> = candidates
        .iter()
        .map(|c| (c, fits(c, pass).min(c.allowed)))
        .filter(|(_, members)| *members > 0)
        .collect();
    order.sort_by_key(|(c, _)| {
        (
            c.is_remote,
            !pass.had_claim(key, c.slot),
            c.ticket.is_none(),
            std::cmp::Reverse(pass.room(c.slot).free.cpu),
            c.slot,
        )
    });
    let mut shares = Shares::new();
    let mut left = spec.count;
    for (candidate, members) in order {
        let members = members.min(left);
        shares.push((candidate.clone(), members));
        left -= members;
        if left == 0 {
            return Some(shares);
        }
    }
    None
}
