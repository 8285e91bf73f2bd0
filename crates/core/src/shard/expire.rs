//! Timers: deadlines, leases, timeouts and periodic retries.

use smallvec::SmallVec;

use crate::code::{Refusal, ResultCode};
use crate::id::{ServiceName, WorkId};
use crate::placement::ClosedReason;
use crate::shard::{Effect, Shard};
use crate::unit::Timestamp;
use crate::work::Outcome;

impl Shard {
    /// Applies everything that is due at `now`. The daemon calls it several times a second.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire_waiting(now);
        self.withdraw_overdue(now);
        self.expire_refusals(now);
        self.tickets.expire(now);
        self.check_leases(now);
        self.expire_reservations(now);
        self.retry_borrowing(now);
        for worker in self.health.end_expired_rests(now) {
            self.fleet.open(&worker, ClosedReason::Rested);
            self.on_capacity_freed();
        }
        self.check_gang_wait(now);
        // Observed usage may have dropped, which no other event reports.
        self.on_capacity_freed();
        let polls = self.slots.to_poll().into_iter();
        self.effects
            .extend(polls.map(|executor| Effect::Poll { executor }));
        self.schedule(now);
    }

    fn expire_waiting(&mut self, now: Timestamp) {
        let mut late: Vec<WorkId> = self.tasks.take_expired(now);
        let services: SmallVec<[ServiceName; 8]> = self.requests.keys().cloned().collect();
        for service in services {
            let queue = self.requests.get_mut(&service);
            late.extend(
                queue
                    .map(|queue| queue.take_expired(now))
                    .unwrap_or_default(),
            );
        }
        for work in late {
            let text = "the work did not start before its deadline";
            let refusal = Refusal::new(ResultCode::DeadlinePassed, text);
            self.end(&work, Outcome::Refused(refusal), now);
        }
    }
}
