use std::collections::VecDeque;

use crate::code::{Refusal, ResultCode};
use crate::id::{Epoch, Sequence, ShardId, Ticket};
use crate::ticket::epoch_table::EpochTable;
use crate::ticket::{TicketDecision, TicketLimits, TicketState};
use crate::unit::{Bytes, Millis, Timestamp};
use crate::work::Outcome;

/// Memory that an answer takes besides its text.
const ANSWER_OVERHEAD_BYTES: u64 = 96;

/// Retry delay suggested to callers when too many tickets are outstanding.
const ISSUE_RETRY_DELAY: Millis = Millis::new(1_000);

/// Tickets of a shard. Each allows its request to run at most once.
#[derive(Debug)]
pub struct TicketTable {
    pub(super) shard: ShardId,
    pub(super) limits: TicketLimits,
    // In ascending order of epoch. The last one issues tickets, the others were imported.
    pub(super) epochs: Vec<EpochTable>,
    // Completed tickets, oldest first. May contain tickets whose answer was already dropped.
    pub(super) completed: VecDeque<(Epoch, Sequence)>,
    pub(super) retained_answers: usize,
    pub(super) retained_bytes: u64,
    pub(super) latest_time: Timestamp,
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
            retained_answers: 0,
            retained_bytes: 0,
            latest_time: Timestamp::default(),
            exported: false,
            imported: false,
        }
    }

    /// Issues `count` tickets. Refused with `TooManyTickets` above the limit and with `HandingOver` after an export.
    pub fn issue(&mut self, count: usize, now: Timestamp) -> Result<Vec<Ticket>, Refusal> {
        if self.exported {
            let text = "the shard is being handed over";
            return Err(Refusal::new(ResultCode::HandingOver, text));
        }
        self.latest_time = self.latest_time.max(now);
        let wanted = self.outstanding().saturating_add(count);
        if wanted > self.limits.outstanding {
            let limit = self.limits.outstanding;
            let text = format!("{wanted} tickets would be outstanding, the limit is {limit}");
            return Err(
                Refusal::new(ResultCode::TooManyTickets, text).retry_after(ISSUE_RETRY_DELAY)
            );
        }
        let Some(table) = self.epochs.last_mut() else {
            return Ok(Vec::new());
        };
        let epoch = table.epoch();
        let ticket = |n| Ticket::new(self.shard.clone(), epoch, Sequence::new(n));
        Ok(table.issue(count, now).map(ticket).collect())
    }

    /// Decides whether to run a request with `ticket`. Returns `Run` at most once for each ticket.
    pub fn admit(&mut self, ticket: &Ticket, fingerprint: u64, now: Timestamp) -> TicketDecision {
        self.expire(now);
        match self.try_admit(ticket, fingerprint) {
            Ok(decision) => decision,
            Err(refusal) => TicketDecision::Refuse(refusal),
        }
    }

    fn try_admit(&mut self, ticket: &Ticket, fingerprint: u64) -> Result<TicketDecision, Refusal> {
        let refuse = |code, text: &str| Err(Refusal::new(code, format!("{ticket}: {text}")));
        // The request may have run on the ticket's own shard, so the code must not claim that it did not.
        if *ticket.shard() != self.shard {
            return refuse(ResultCode::NotOwner, "the ticket belongs to another shard");
        }
        let exported = self.exported;
        let Some(table) = self.table(ticket.epoch()) else {
            return refuse(
                ResultCode::TicketEpochLost,
                "the tickets of its epoch are no longer known",
            );
        };
        let known = match table.get(ticket.sequence()) {
            None => return refuse(ResultCode::InvalidTicket, "the ticket was never issued"),
            Some(TicketState::Gone) => {
                return refuse(
                    ResultCode::AnswerExpired,
                    "the ticket expired or its answer is no longer retained",
                );
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
            _ => refuse(
                ResultCode::KeyConflict,
                "the ticket was already used for another request",
            ),
        }
    }

    /// Stores the answer of a request in flight. Returns false if no request is in flight for `ticket`.
    ///
    /// A refusal is stored like any other answer: a retry gets the same refusal, and the request is not run later.
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
        self.retained_answers += 1;
        self.retained_bytes += bytes;
        self.enforce_answer_limit();
        true
    }

    /// Drops the answer after the caller confirmed that it has received it. Has no effect on tickets that are unused or
    /// in flight.
    pub fn confirm(&mut self, ticket: &Ticket) {
        if *ticket.shard() == self.shard {
            self.drop_answer(ticket.epoch(), ticket.sequence());
        }
    }

    /// Expires unused tickets and drops answers whose lifetime has passed.
    pub fn expire(&mut self, now: Timestamp) {
        self.latest_time = self.latest_time.max(now);
        let lifetime = self.limits.lifetime;
        while let Some((epoch, sequence)) = self.completed.front().copied() {
            let slot = self.table(epoch).and_then(|table| table.get(sequence));
            match slot {
                Some(TicketState::Done { at, .. }) if at.after(lifetime) > now => break,
                _ => self.drop_answer(epoch, sequence),
            }
            self.completed.pop_front();
        }
        for table in &mut self.epochs {
            table.expire_unused(lifetime, now);
            table.compact();
        }
        let own_epoch = self.epoch();
        self.epochs
            .retain(|table| table.epoch() == own_epoch || table.live() > 0);
    }

    /// Returns the number of tickets that are unused, in flight or answered.
    pub fn outstanding(&self) -> usize {
        self.epochs.iter().map(EpochTable::live).sum()
    }

    /// Returns the total size of the retained answers.
    pub fn answer_bytes(&self) -> Bytes {
        Bytes::new(self.retained_bytes)
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

    fn drop_answer(&mut self, epoch: Epoch, sequence: Sequence) {
        let Some(table) = self.table(epoch) else {
            return;
        };
        if !matches!(table.get(sequence), Some(TicketState::Done { .. })) {
            return;
        }
        let previous = table.replace(sequence, TicketState::Gone);
        table.compact();
        if let Some(TicketState::Done { outcome, .. }) = previous {
            self.retained_answers -= 1;
            self.retained_bytes -= answer_bytes(&outcome);
        }
    }

    pub(super) fn enforce_answer_limit(&mut self) {
        while self.retained_bytes > self.limits.answer_bytes.get() {
            let Some((epoch, sequence)) = self.completed.pop_front() else {
                break;
            };
            self.drop_answer(epoch, sequence);
        }
        // Entries of confirmed tickets remain in the queue. Removing them only once it has twice as many entries as
        // retained answers takes amortized constant time.
        if self.completed.len() > 2 * self.retained_answers + 16 {
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
    text as u64 + ANSWER_OVERHEAD_BYTES
}
