//! Requests that wait at an owner that gives its shard up.

use crate::code::{Refusal, ResultCode};
use crate::id::WorkId;
use crate::shard::{Reply, Route, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkState};

impl Shard {
    /// Gives the requests that were never sent back to their callers, who send them to the successor. Recorded work
    /// stays in the journal.
    pub(super) fn withdraw_waiting(&mut self, now: Timestamp) {
        let waiting = self.works.values().filter(|record| {
            record.state == WorkState::Waiting
                && !matches!(record.route, Route::Journal(_))
                && !record.may_have_started()
                && !record.ran
        });
        let waiting: Vec<(WorkId, Route)> = waiting
            .map(|record| (record.id.clone(), record.route.clone()))
            .collect();
        for (work, route) in waiting {
            match route {
                Route::Ticket(ticket) if !self.tickets.withdraw(&ticket) => {
                    let text = "the ticket is past its lifetime, and the shard is handed over";
                    let refusal = Refusal::new(ResultCode::Overloaded, text);
                    self.end(&work, Outcome::Refused(refusal), now);
                }
                Route::Ticket(ticket) => {
                    self.by_ticket.remove(&ticket);
                    self.give_back(&work);
                }
                _ => self.give_back(&work),
            }
        }
    }

    fn give_back(&mut self, work: &WorkId) {
        self.queue_of(work).remove(work);
        self.discharge(work);
        let Some(record) = self.works.remove(work) else {
            return;
        };
        let text = format!("shard {}: it is being handed over", self.config.shard);
        for waiter in record.until_recorded.into_iter().chain(record.until_end) {
            let refusal = Refusal::new(ResultCode::HandingOver, text.clone());
            self.reply(waiter, Reply::Refused(refusal));
        }
    }
}
