//! Acceptance of submitted work.

use std::sync::Arc;

use crate::code::{Refusal, RefusalClass, ResultCode};
use crate::id::{RequestKey, Ticket, WorkId};
use crate::journal::{EndedWork, JournalEntry};
use crate::shard::commit::PendingEntry;
use crate::shard::unconfirmed_refusal::UnconfirmedRefusal;
use crate::shard::view::ended_view;
use crate::shard::work_record::WorkRecord;
use crate::shard::{Deduplication, Effect, Reply, Shard, Submission, WaiterId};
use crate::ticket::TicketDecision;
use crate::unit::{Resources, Timestamp};
use crate::work::{Outcome, WorkKind, WorkSpec};

impl Shard {
    /// Issues tickets for at-most-once requests.
    ///
    /// # Errors
    ///
    /// Refused while the shard is not serving, or when too many tickets are outstanding.
    pub fn issue_tickets(&mut self, count: usize, now: Timestamp) -> Result<Vec<Ticket>, Refusal> {
        self.check_accepting()?;
        self.tickets.issue(count, now)
    }

    /// Drops the outcome kept for a ticket.
    pub fn confirm_ticket(&mut self, ticket: &Ticket) {
        self.tickets.confirm(ticket);
    }

    /// Submits a piece of work or a repeat of one. Replies to `waiter` at once or later.
    pub fn submit(&mut self, waiter: WaiterId, submission: Submission, now: Timestamp) {
        let refused = match submission.deduplication.clone() {
            Deduplication::Ticket(ticket) => {
                self.submit_with_ticket(waiter, &ticket, submission, now)
            }
            Deduplication::Journal(key) => {
                let refused = self.submit_with_key(waiter, &key, submission, now);
                refused.or_else(|refusal| self.defer_refusal(waiter, refusal, now))
            }
            Deduplication::Once => self.admit(waiter, submission, now),
        };
        if let Err(refusal) = refused {
            self.reply(waiter, Reply::Refused(refusal));
        }
        self.schedule(now);
    }

    fn submit_with_ticket(
        &mut self,
        waiter: WaiterId,
        ticket: &Ticket,
        submission: Submission,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        self.check_accepting()?;
        match self.tickets.admit(ticket, submission.fingerprint, now) {
            TicketDecision::Refuse(refusal) => Err(refusal),
            TicketDecision::Done(outcome) => {
                let repeated = true;
                self.reply(waiter, Reply::Ended { outcome, repeated });
                Ok(())
            }
            TicketDecision::InFlight => {
                let record = self
                    .by_ticket
                    .get(ticket)
                    .and_then(|id| self.records.get_mut(id));
                let Some(record) = record else {
                    let text = format!(
                        "{ticket}: the request is no longer tracked, and its outcome is unknown"
                    );
                    return Err(Refusal::new(ResultCode::AnswerLost, text));
                };
                record.end_waiters.push(waiter);
                Ok(())
            }
            TicketDecision::Run => {
                let refused = self.admit(waiter, submission, now);
                if let Err(refusal) = &refused {
                    // The refusal says "not run", so a retry with the same ticket must get the same refusal.
                    self.tickets
                        .complete(ticket, Outcome::Refused(refusal.clone()), now);
                }
                refused
            }
        }
    }

    fn submit_with_key(
        &mut self,
        waiter: WaiterId,
        key: &RequestKey,
        submission: Submission,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let team_key = (submission.spec.team.clone(), key.clone());
        if let Some(work) = self.by_key.get(&team_key).cloned() {
            return self.repeat_live(waiter, &work, &submission);
        }
        let known = self.journal.state().find(&team_key.0, key).cloned();
        if let Some(work) = known
            && let Some(ended) = self.journal.state().ended(&work).cloned()
        {
            return self.repeat_ended(waiter, work, &ended, &submission);
        }
        self.check_accepting()?;
        self.admit(waiter, submission, now)
    }

    /// Defers a refusal as "not run" until the store has confirmed the ownership. A later owner may have accepted an
    /// earlier attempt with the same key, and then the refusal would be wrong.
    fn defer_refusal(
        &mut self,
        waiter: WaiterId,
        refusal: Refusal,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let binding = refusal.class() == RefusalClass::NotRun;
        if !binding || refusal.code == ResultCode::KeyConflict {
            return Err(refusal);
        }
        let check = self.journal.request_ownership_check();
        self.unconfirmed_refusals.push_back(UnconfirmedRefusal {
            check,
            waiter,
            refusal,
            at: now,
        });
        self.effects.push(Effect::Commit);
        Ok(())
    }

    fn repeat_live(
        &mut self,
        waiter: WaiterId,
        work: &WorkId,
        submission: &Submission,
    ) -> Result<(), Refusal> {
        let Some(record) = self.records.get_mut(work) else {
            return Err(Refusal::new(
                ResultCode::UnknownWork,
                format!("{work} is not known"),
            ));
        };
        check_fingerprint(record.fingerprint, submission.fingerprint)?;
        if submission.wait_for_end {
            record.end_waiters.push(waiter);
        } else if record.accepting.is_some() {
            record.acceptance_waiters.push(waiter);
        } else {
            let view = Box::new(record.view());
            self.reply(
                waiter,
                Reply::Accepted {
                    view,
                    repeated: true,
                },
            );
        }
        Ok(())
    }

    fn repeat_ended(
        &mut self,
        waiter: WaiterId,
        work: WorkId,
        ended: &EndedWork,
        submission: &Submission,
    ) -> Result<(), Refusal> {
        check_fingerprint(ended.fingerprint, submission.fingerprint)?;
        let repeated = true;
        let reply = if submission.wait_for_end {
            Reply::Ended {
                outcome: ended.outcome.clone(),
                repeated,
            }
        } else {
            let view = ended_view(work, ended);
            Reply::Accepted {
                view: Box::new(view),
                repeated,
            }
        };
        self.reply(waiter, reply);
        Ok(())
    }

    fn admit(
        &mut self,
        waiter: WaiterId,
        submission: Submission,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        self.check_accepting()?;
        let Submission {
            deduplication,
            spec,
            fingerprint,
            wait_for_end,
        } = submission;
        validate_spec(&spec)?;
        self.admission
            .check(&spec, &self.admission_view(&spec, now))?;
        let id = self.next_work_id();
        let spec = Arc::new(spec);
        let mut record = WorkRecord::new(
            id.clone(),
            spec.clone(),
            deduplication.clone(),
            fingerprint,
            now,
        );
        match wait_for_end {
            true => record.end_waiters.push(waiter),
            false => record.acceptance_waiters.push(waiter),
        }
        match deduplication {
            Deduplication::Journal(key) => {
                record.accepting = Some(self.record_acceptance(&record, &key)?);
                record.reason = "waiting for the store to record the acceptance".to_owned();
                self.by_key.insert((spec.team.clone(), key), id.clone());
                self.records.insert(id, record);
            }
            Deduplication::Ticket(ticket) => {
                self.by_ticket.insert(ticket, id.clone());
                self.enqueue(record);
            }
            Deduplication::Once => self.enqueue(record),
        }
        Ok(())
    }

    fn record_acceptance(
        &mut self,
        record: &WorkRecord,
        key: &RequestKey,
    ) -> Result<crate::journal::Position, Refusal> {
        let entry = JournalEntry::Accepted {
            work: record.id.clone(),
            key: Some(key.clone()),
            fingerprint: record.fingerprint,
            spec: record.spec.clone(),
            accepted_at: record.accepted_at,
        };
        let position = self.journal.append(entry)?;
        let pending = PendingEntry::Accepted {
            work: record.id.clone(),
            at: record.accepted_at,
        };
        self.uncommitted.push_back((position, pending));
        self.effects.push(Effect::Commit);
        Ok(position)
    }

    /// Adds accepted work to its queue.
    pub(super) fn enqueue(&mut self, record: WorkRecord) {
        let entry = record.queue_entry();
        let id = record.id.clone();
        self.records.insert(id, record);
        self.queue_of(&entry.work).push(entry);
    }
}

fn check_fingerprint(known: u64, new: u64) -> Result<(), Refusal> {
    if known != new {
        let text = "the idempotency key was already used with different content";
        return Err(Refusal::new(ResultCode::KeyConflict, text));
    }
    Ok(())
}

fn validate_spec(spec: &WorkSpec) -> Result<(), Refusal> {
    let invalid = |text: &str| Err(Refusal::new(ResultCode::InvalidValue, text));
    match spec.kind {
        WorkKind::Service if spec.service.is_none() => {
            invalid("service: a request must name a service")
        }
        WorkKind::Batch if spec.task_count != 1 => {
            invalid("members: a batch run has exactly one task")
        }
        WorkKind::Gang if spec.task_count == 0 => {
            invalid("members: a gang job needs at least one task")
        }
        WorkKind::Batch | WorkKind::Gang if spec.resources == Resources::ZERO => {
            invalid("resources: a task needs more than zero")
        }
        WorkKind::Batch | WorkKind::Gang if spec.service.is_some() => {
            invalid("service: only a request may name a service")
        }
        _ => Ok(()),
    }
}
