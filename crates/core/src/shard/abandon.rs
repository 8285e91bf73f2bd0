//! The end of an ownership.

use std::collections::BTreeSet;

use crate::code::{Refusal, ResultCode};
use crate::id::{WorkId, WorkerId};
use crate::shard::{Deduplication, Reply, Shard};
use crate::work::WorkState;

impl Shard {
    /// Notes that another process owns the shard.
    pub fn on_superseded(&mut self, refusal: Refusal) {
        self.halt(refusal);
    }

    /// Gives the leases up and replies to everyone who waits, because this owner can't find out more.
    pub fn abandon(&mut self) {
        self.refuse_unconfirmed();
        self.release_all_leases();
        let ids: Vec<WorkId> = self.records.keys().cloned().collect();
        for work in ids {
            let Some(record) = self.records.get_mut(&work) else {
                continue;
            };
            let recorded = std::mem::take(&mut record.acceptance_waiters);
            let ended = std::mem::take(&mut record.end_waiters);
            let refusal = match (&record.deduplication, &record.state) {
                // The journal tells a repeat with the same key what became of the work.
                (Deduplication::Journal(_), _) => {
                    Refusal::new(ResultCode::NotOwner, "the shard has another owner")
                }
                (Deduplication::Once, WorkState::Waiting) => {
                    Refusal::new(ResultCode::NotOwner, "the shard has another owner")
                }
                _ => {
                    let text = "the shard has another owner, and the outcome is not known to it";
                    Refusal::new(ResultCode::AnswerLost, text)
                }
            };
            for waiter in recorded.into_iter().chain(ended) {
                self.reply(waiter, Reply::Refused(refusal.clone()));
            }
        }
    }

    fn refuse_unconfirmed(&mut self) {
        for held in std::mem::take(&mut self.unconfirmed_refusals) {
            let refusal = Refusal::new(ResultCode::NotOwner, "the shard has another owner");
            self.reply(held.waiter, Reply::Refused(refusal));
        }
    }

    /// Returns the workers of the shard.
    pub fn worker_ids(&self) -> BTreeSet<WorkerId> {
        self.workers.keys().cloned().collect()
    }
}
