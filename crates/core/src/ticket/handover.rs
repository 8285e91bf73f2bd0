//! Planned handover of a ticket table to the next owner of a shard.

use crate::code::{Refusal, ResultCode};
use crate::id::Ticket;
use crate::ticket::epoch_table::EpochTable;
use crate::ticket::ticket_table::answer_bytes;
use crate::ticket::{TicketSnapshot, TicketState, TicketTable};
use crate::unit::Timestamp;
use crate::work::Outcome;

impl TicketTable {
    /// Returns the tickets for the next owner. From now on this table starts no request.
    pub fn export(&mut self) -> TicketSnapshot {
        self.exported = true;
        let epochs = self.epochs.iter().map(EpochTable::to_snapshot);
        TicketSnapshot {
            shard: self.shard.clone(),
            taken_at: self.latest_time,
            epochs: epochs.collect(),
        }
    }

    /// Makes the ticket of a request that was certainly not started usable again. Returns false if it is not in flight,
    /// or if its lifetime has passed: an unused ticket of that age would never be removed.
    pub fn withdraw(&mut self, ticket: &Ticket) -> bool {
        if *ticket.shard() != self.shard {
            return false;
        }
        let epochs = &mut self.epochs;
        let table = epochs
            .iter_mut()
            .find(|table| table.epoch() == ticket.epoch());
        table.is_some_and(|table| table.withdraw(ticket.sequence()))
    }

    /// Cancels an export whose handover did not take place, so that requests start again. The exported snapshot must
    /// never be imported.
    pub fn cancel_export(&mut self) {
        self.exported = false;
    }

    /// Imports the tickets of the previous owner. Requests that were in flight there end with `AnswerLost`.
    ///
    /// Refused with `EpochInvariant` if the snapshot is of another shard, if one of its epochs is not older than that
    /// of this table, or if a snapshot was imported before.
    pub fn import(&mut self, snapshot: TicketSnapshot) -> Result<(), Refusal> {
        let ascending = snapshot.epochs.is_sorted_by(|a, b| a.epoch < b.epoch);
        let own_epoch = self.epoch();
        let older = snapshot.epochs.iter().all(|table| table.epoch < own_epoch);
        if self.imported || snapshot.shard != self.shard || !ascending || !older {
            let text = format!(
                "can't import the tickets of shard {} at epoch {own_epoch}: wrong shard, epochs not older or imported before",
                snapshot.shard
            );
            return Err(Refusal::new(ResultCode::EpochInvariant, text));
        }
        self.imported = true;
        let taken_at = snapshot.taken_at;
        let tables = snapshot.epochs.into_iter().map(EpochTable::from_snapshot);
        self.epochs.splice(0..0, tables);
        self.settle_imported(taken_at);
        self.enforce_answer_limit();
        Ok(())
    }

    fn settle_imported(&mut self, taken_at: Timestamp) {
        let own_epoch = self.epoch();
        let mut done = Vec::new();
        for table in self
            .epochs
            .iter_mut()
            .filter(|table| table.epoch() != own_epoch)
        {
            let epoch = table.epoch();
            table.for_each(|sequence, slot| {
                if let TicketState::InFlight { fingerprint } = *slot {
                    let text = "the request was in flight when the shard was handed over";
                    let refusal = Refusal::new(ResultCode::AnswerLost, text);
                    let outcome = Box::new(Outcome::Refused(refusal));
                    let at = taken_at;
                    *slot = TicketState::Done {
                        fingerprint,
                        outcome,
                        at,
                    };
                }
                if let TicketState::Done { outcome, at, .. } = slot {
                    done.push((*at, epoch, sequence, answer_bytes(outcome)));
                }
            });
        }
        done.sort_by_key(|(at, ..)| *at);
        self.retained_answers += done.len();
        self.retained_bytes += done.iter().map(|(.., bytes)| bytes).sum::<u64>();
        let own_completed = std::mem::take(&mut self.completed);
        let imported = done
            .into_iter()
            .map(|(_, epoch, sequence, _)| (epoch, sequence));
        self.completed = imported.chain(own_completed).collect();
    }
}
