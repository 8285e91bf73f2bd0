//! Cancellation and operator holds.

use crate::code::{Refusal, ResultCode};
use crate::id::{CommandId, WorkId};
use crate::journal::JournalEntry;
use crate::shard::after_stop::AfterStop;
use crate::shard::commit::PendingEntry;
use crate::shard::{Deduplication, Effect, Reply, Shard, WaiterId};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkState};

impl Shard {
    /// Cancels work. Replies to `waiter` with the outcome, which says whether the work ran, once no part of it can run
    /// any more.
    pub fn cancel(&mut self, waiter: WaiterId, work: &WorkId, reason: &str, now: Timestamp) {
        if let Some(record) = self.records.get_mut(work) {
            record.end_waiters.push(waiter);
            self.cancel_live(work, reason, now);
        } else if let Some(WorkState::Ended(outcome)) = self.ended_state(work) {
            self.reply(
                waiter,
                Reply::Ended {
                    outcome,
                    repeated: true,
                },
            );
        } else {
            let text = format!("{work} is not known");
            self.reply(
                waiter,
                Reply::Refused(Refusal::new(ResultCode::UnknownWork, text)),
            );
        }
        self.schedule(now);
    }

    fn cancel_live(&mut self, work: &WorkId, reason: &str, now: Timestamp) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        if record.ending.is_some() {
            return;
        }
        let text = format!("cancelled: {reason}");
        let outcome = Outcome::Refused(Refusal::new(ResultCode::Cancelled, text));
        match record.state {
            WorkState::Waiting | WorkState::Held => self.end(work, outcome, now),
            WorkState::Unresolved => {
                record.after_stop.get_or_insert(AfterStop::End(outcome));
                record.reason = "cancelled; waiting for a host that may have run it".to_owned();
            }
            WorkState::Starting | WorkState::Running if record.executor.is_some() => {
                record.reason =
                    "the request was sent to an executor, can't be cancelled any more and runs to completion".to_owned();
            }
            WorkState::Starting | WorkState::Running => {
                record.reason = "cancelled; its hosts are stopping it".to_owned();
                record.after_stop = None;
                self.stop_all(work, AfterStop::End(outcome));
            }
            WorkState::Ended(_) => {}
        }
    }

    /// Returns the number of items that an operator's command changed, or `None` if this owner has not executed it.
    pub fn command_result(&self, command: &CommandId) -> Option<u32> {
        self.commands.get(command)
    }

    /// Records the number of items that an operator's command changed.
    pub fn record_command(&mut self, command: CommandId, changed: u32) {
        self.commands.insert(command, changed);
    }

    /// Removes a waiter whose caller has disconnected.
    pub fn forget_waiter(&mut self, work: &WorkId, waiter: WaiterId) {
        if let Some(record) = self.records.get_mut(work) {
            record.end_waiters.retain(|known| *known != waiter);
            record.acceptance_waiters.retain(|known| *known != waiter);
        }
    }

    /// Holds waiting work in its queue. Returns false if it is not waiting.
    pub fn hold(&mut self, work: &WorkId) -> bool {
        self.set_hold(work, WorkState::Waiting, WorkState::Held)
    }

    /// Releases held work. Returns false if it is not held.
    pub fn release_hold(&mut self, work: &WorkId) -> bool {
        self.set_hold(work, WorkState::Held, WorkState::Waiting)
    }

    fn set_hold(&mut self, work: &WorkId, from: WorkState, to: WorkState) -> bool {
        let Some(record) = self
            .records
            .get_mut(work)
            .filter(|record| record.state == from)
        else {
            return false;
        };
        let held = to == WorkState::Held;
        record.state = to;
        record.reason = match held {
            true => "held by an operator".to_owned(),
            false => "waiting in the queue".to_owned(),
        };
        let journalled = matches!(record.deduplication, Deduplication::Journal(_));
        match held {
            true => self.queue_of(work).hold(work),
            false => self.queue_of(work).release(work),
        };
        if held {
            self.remove_head_gang(work);
        }
        if journalled {
            self.record_hold(work.clone(), held);
        }
        true
    }

    fn record_hold(&mut self, work: WorkId, held: bool) {
        let entry = match held {
            true => JournalEntry::Held { work },
            false => JournalEntry::Released { work },
        };
        let appended = self.journal.append(entry);
        if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
            self.uncommitted.push_back((position, PendingEntry::Other));
            self.effects.push(Effect::Commit);
        }
    }
}
