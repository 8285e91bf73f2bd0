//! End of the ownership of a shard.

use std::collections::BTreeSet;

use crate::code::{Refusal, ResultCode};
use crate::id::{WorkId, WorkerId};
use crate::shard::{Deduplication, Reply, Shard};
use crate::work::WorkState;

impl Shard {
    /// Stops the shard because another process owns it.
    pub fn on_superseded(&mut self, refusal: Refusal) {
        self.halt(refusal);
    }

    /// Releases all leases and replies to every waiting caller. Called when this owner can no longer learn the outcome
    /// of its work.
    pub fn abandon(&mut self) {
        self.refuse_unconfirmed();
        self.release_all_leases();
        let ids: Vec<WorkId> = self.records.keys().cloned().collect();
        for work in ids {
            let Some(record) = self.records.get_mut(&work) else {
                continue;
            };
            let acceptance_waiters = std::mem::take(&mut record.acceptance_waiters);
            let end_waiters = std::mem::take(&mut record.end_waiters);
            let refusal = match (&record.deduplication, &record.state) {
                // A repeat with the same key learns the outcome from the journal.
                (Deduplication::Journal(_), _) => {
                    Refusal::new(ResultCode::NotOwner, "the shard has another owner")
                }
                (Deduplication::Once, WorkState::Waiting) => {
                    Refusal::new(ResultCode::NotOwner, "the shard has another owner")
                }
                _ => {
                    let text = "the shard has another owner, which does not know the outcome";
                    Refusal::new(ResultCode::AnswerLost, text)
                }
            };
            for waiter in acceptance_waiters.into_iter().chain(end_waiters) {
                self.reply(waiter, Reply::Refused(refusal.clone()));
            }
        }
    }

    fn refuse_unconfirmed(&mut self) {
        for pending in std::mem::take(&mut self.unconfirmed_refusals) {
            let refusal = Refusal::new(ResultCode::NotOwner, "the shard has another owner");
            self.reply(pending.waiter, Reply::Refused(refusal));
        }
    }

    /// Returns the ids of all known workers, those without a valid lease included.
    pub fn worker_ids(&self) -> BTreeSet<WorkerId> {
        self.workers.keys().cloned().collect()
    }
}
