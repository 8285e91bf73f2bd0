//! Waiting requests at an owner that hands its shard over.

use crate::code::{Refusal, ResultCode};
use crate::id::WorkId;
use crate::shard::{Deduplication, Reply, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkState};

impl Shard {
    /// Refuses the requests that were never sent, so that their callers retry at the successor. Recorded work stays in
    /// the journal.
    pub(super) fn withdraw_waiting(&mut self, now: Timestamp) {
        let waiting = self.records.values().filter(|record| {
            record.state == WorkState::Waiting
                && !matches!(record.deduplication, Deduplication::Journal(_))
                && !record.may_have_started()
                && !record.may_have_run
        });
        let waiting: Vec<(WorkId, Deduplication)> = waiting
            .map(|record| (record.id.clone(), record.deduplication.clone()))
            .collect();
        for (work, deduplication) in waiting {
            match deduplication {
                Deduplication::Ticket(ticket) if !self.tickets.withdraw(&ticket) => {
                    let text = "the ticket has expired, and the shard is being handed over";
                    let refusal = Refusal::new(ResultCode::Overloaded, text);
                    self.end(&work, Outcome::Refused(refusal), now);
                }
                Deduplication::Ticket(ticket) => {
                    self.by_ticket.remove(&ticket);
                    self.refuse_unsent(&work);
                }
                _ => self.refuse_unsent(&work),
            }
        }
    }

    fn refuse_unsent(&mut self, work: &WorkId) {
        self.queue_of(work).remove(work);
        self.release_charge(work);
        let Some(record) = self.records.remove(work) else {
            return;
        };
        let text = format!("shard {}: a handover is in progress", self.config.shard);
        for waiter in record
            .acceptance_waiters
            .into_iter()
            .chain(record.end_waiters)
        {
            let refusal = Refusal::new(ResultCode::HandingOver, text.clone());
            self.reply(waiter, Reply::Refused(refusal));
        }
    }
}
