use std::collections::VecDeque;

use crate::code::{Refusal, ResultCode};
use crate::id::{Epoch, Sequence, ShardId, Ticket};
use crate::ticket::epoch_table::EpochTable;
use crate::ticket::{TicketDecision, TicketLimits, TicketState};
use crate::unit::{Bytes, Millis, Timestamp};
use crate::work::Outcome;

/// Memory of an answer besides its text.
const ANSWER_OVERHEAD: u64 = 96;

/// Wait suggested when too many tickets are outstanding.
const ISSUE_RETRY: Millis = Millis::new(1_000);

/// Tickets of a shard; each lets its request run at most once.
#[derive(Debug)]
pub struct TicketTable {
    pub(super) shard: ShardId,
    pub(super) limits: TicketLimits,
    // Ascending by epoch; the last one issues, the others were imported.
    pub(super) epochs: Vec<EpochTable>,
    // Completed tickets, oldest first; may name tickets whose answer is gone.
    pub(super) completed: VecDeque<(Epoch, Sequence)>,
    pub(super) kept_answers: usize,
    pub(super) kept_bytes: u64,
    pub(super) latest: Timestamp,
    pub(super) exported: bool,
    pub(super) imported: bool,
}

impl TicketTable {
    /// Creates the table of the owner of `shard` at `epoch`.
    pub fn new(shard: ShardId, epoch: Epoch, limits: TicketLimits) -> Self {
        Self {
            shard,
            limits,
            epochs: vec![EpochTable::new(epoch)],
            completed: VecDeque::new(),
            kept_answers: 0,
            kept_bytes: 0,
            latest: Timestamp::default(),
            exported: false,
            imported: false,
        }
    }

    /// Issues `count` tickets; refused with `TooManyTickets` over the limit and `HandingOver` after an export.
    pub fn issue(&mut self, count: usize, now: Timestamp) -> Result<Vec<Ticket>, Refusal> {
        if self.exported {
            let text = "the shard is being handed over";
            return Err(Refusal::new(ResultCode::HandingOver, text));
        }
        self.latest = self.latest.max(now);
        let wanted = self.outstanding().saturating_add(count);
        if wanted > self.limits.outstanding {
            let limit = self.limits.outstanding;
            let text = format!("{limit} tickets may be outstanding, {wanted} would be");
            return Err(Refusal::new(ResultCode::TooManyTickets, text).retry_after(ISSUE_RETRY));
        }
        let Some(table) = self.epochs.last_mut() else {
            return Ok(Vec::new());
        };
        let epoch = table.epoch();
        let ticket = |n| Ticket::new(self.shard.clone(), epoch, Sequence::new(n));
        Ok(table.issue(count, now).map(ticket).collect())
    }

    /// Decides about a request with `ticket`; `Run` is returned at most once for a ticket.
    pub fn admit(&mut self, ticket: &Ticket, fingerprint: u64, now: Timestamp) -> TicketDecision {
        self.expire(now);
        match self.try_admit(ticket, fingerprint) {
            Ok(decision) => decision,
            Err(refusal) => TicketDecision::Refuse(refusal),
        }
    }

    fn try_admit(&mut self, ticket: &Ticket, fingerprint: u64) -> Result<TicketDecision, Refusal> {
        let refuse = |code, text: &str| Err(Refusal::new(code, format!("{ticket}: {text}")));
        // The request may have run at the ticket's own shard, so this is no "not run".
        if *ticket.shard() != self.shard {
            return refuse(ResultCode::NotOwner, "the ticket is of another shard");
        }
        let exported = self.exported;
        let Some(table) = self.table(ticket.epoch()) else {
            return refuse(
                ResultCode::TicketEpochLost,
                "the table of its epoch is gone",
            );
        };
        let known = match table.get(ticket.sequence()) {
            None => return refuse(ResultCode::InvalidTicket, "the ticket was never issued"),
            Some(TicketState::Gone) => {
                return refuse(ResultCode::AnswerExpired, "its answer is no longer kept");
            }
            Some(TicketState::Unused) if exported => {
                return refuse(ResultCode::HandingOver, "the shard is being handed over");
            }
            Some(TicketState::Unused) => {
                table.replace(ticket.sequence(), TicketState::InFlight { fingerprint });
                return Ok(TicketDecision::Run);
            }
            Some(TicketState::InFlight { fingerprint: known }) => {
                (*known, TicketDecision::InFlight)
            }
            Some(TicketState::Done {
                fingerprint: known,
                outcome,
                ..
            }) => (*known, TicketDecision::Done(outcome.as_ref().clone())),
        };
        match known {
            (known, decision) if known == fingerprint => Ok(decision),
            _ => refuse(ResultCode::KeyConflict, "it was used for another request"),
        }
    }

    /// Keeps the answer of a request in flight; returns false if none is in flight under `ticket`.
    ///
    /// A refusal is an answer like any other: a retry gets the same one and the request is not run later.
    pub fn complete(&mut self, ticket: &Ticket, outcome: Outcome, now: Timestamp) -> bool {
        if *ticket.shard() != self.shard {
            return false;
        }
        let Some(table) = self.table(ticket.epoch()) else {
            return false;
        };
        let Some(&TicketState::InFlight { fingerprint }) = table.get(ticket.sequence()) else {
            return false;
        };
        let bytes = answer_bytes(&outcome);
        let outcome = Box::new(outcome);
        let done = TicketState::Done {
            fingerprint,
            outcome,
            at: now,
        };
        table.replace(ticket.sequence(), done);
        self.completed
            .push_back((ticket.epoch(), ticket.sequence()));
        self.kept_answers += 1;
        self.kept_bytes += bytes;
        self.drop_over_limit();
        true
    }

    /// Forgets the answer that the caller has received; has no effect on unused tickets and on those in flight.
    pub fn confirm(&mut self, ticket: &Ticket) {
        if *ticket.shard() == self.shard {
            self.forget(ticket.epoch(), ticket.sequence());
        }
    }

    /// Ends unused tickets and drops answers past their lifetime.
    pub fn expire(&mut self, now: Timestamp) {
        self.latest = self.latest.max(now);
        let lifetime = self.limits.lifetime;
        while let Some((epoch, sequence)) = self.completed.front().copied() {
            let slot = self.table(epoch).and_then(|table| table.get(sequence));
            match slot {
                Some(TicketState::Done { at, .. }) if at.after(lifetime) > now => break,
                _ => self.forget(epoch, sequence),
            }
            self.completed.pop_front();
        }
        for table in &mut self.epochs {
            table.expire_unused(lifetime, now);
            table.compact();
        }
        let own = self.epoch();
        self.epochs
            .retain(|table| table.epoch() == own || table.live() > 0);
    }

    /// Returns the number of tickets that are unused, in flight or answered.
    pub fn outstanding(&self) -> usize {
        self.epochs.iter().map(EpochTable::live).sum()
    }

    /// Returns the size of the kept answers.
    pub fn answer_bytes(&self) -> Bytes {
        Bytes::new(self.kept_bytes)
    }

    /// Returns the epoch that issues tickets.
    pub fn epoch(&self) -> Epoch {
        self.epochs
            .last()
            .map_or(Epoch::default(), EpochTable::epoch)
    }

    fn table(&mut self, epoch: Epoch) -> Option<&mut EpochTable> {
        self.epochs.iter_mut().find(|table| table.epoch() == epoch)
    }

    fn forget(&mut self, epoch: Epoch, sequence: Sequence) {
        let Some(table) = self.table(epoch) else {
            return;
        };
        if !matches!(table.get(sequence), Some(TicketState::Done { .. })) {
            return;
        }
        let previous = table.replace(sequence, TicketState::Gone);
        table.compact();
        if let Some(TicketState::Done { outcome, .. }) = previous {
            self.kept_answers -= 1;
            self.kept_bytes -= answer_bytes(&outcome);
        }
    }

    pub(super) fn drop_over_limit(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes.get() {
            let Some((epoch, sequence)) = self.completed.pop_front() else {
                break;
            };
            self.forget(epoch, sequence);
        }
        // Confirmed tickets leave their entry behind; sweeping at twice the kept answers costs constant time on average.
        if self.completed.len() > 2 * self.kept_answers + 16 {
            let mut completed = std::mem::take(&mut self.completed);
            completed.retain(|(epoch, sequence)| {
                let slot = self.table(*epoch).and_then(|table| table.get(*sequence));
                matches!(slot, Some(TicketState::Done { .. }))
            });
            self.completed = completed;
        }
    }
}

pub(super) fn answer_bytes(outcome: &Outcome) -> u64 {
    let text = match outcome {
        Outcome::Succeeded(text) | Outcome::Failed(text) => text.len(),
        Outcome::Refused(refusal) => refusal.message.len(),
    };
    text as u64 + ANSWER_OVERHEAD
}
