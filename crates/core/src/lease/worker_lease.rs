use crate::code::{Refusal, ResultCode};
use crate::id::{Epoch, Incarnation};
use crate::lease::LeaseChange;
use crate::unit::{Millis, Timestamp};

/// A renewal is due after this part of the time to live, which leaves room for two more tries.
const RENEWALS_PER_TTL: u64 = 4;

/// Renewals without an answer after which the holder asks for a new epoch, so that the time after which tasks have
/// certainly stopped stays bounded.
const MAX_UNCONFIRMED: u64 = 4;

/// Lease of one worker as its holder sees it. Create a new one for each epoch of the shard.
#[derive(Debug)]
pub struct WorkerLease {
    margin: Millis,
    grant: Option<Grant>,
    // Kept after the lease ends, because the worker refuses lower epochs for good.
    highest: Option<(Epoch, Incarnation)>,
    pending: Option<Timestamp>,
    confirmed: Option<Confirmed>,
    // Renewals of the current epoch without an answer. Each may still reach the worker while the lease is valid there.
    unconfirmed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    received_at: Timestamp,
    ttl: Millis,
    task_ttl: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    sent_at: Timestamp,
    ttl: Millis,
}

impl WorkerLease {
    /// Creates a lease that is not granted. `margin` covers the time between a check and its effect, and clock drift.
    pub fn new(margin: Millis) -> Self {
        Self {
            margin,
            grant: None,
            highest: None,
            pending: None,
            confirmed: None,
            unconfirmed: 0,
        }
    }

    /// Notes that a request for the lease is about to be sent.
    pub fn on_sending(&mut self, sent_at: Timestamp) {
        self.pending = Some(sent_at);
    }

    /// Takes a grant; refused with `EpochInvariant` if the epoch or the incarnation went back.
    ///
    /// `sent_at` was read before the request was sent, `received_at` after the answer came.
    pub fn on_granted(
        &mut self,
        sent_at: Timestamp,
        received_at: Timestamp,
        epoch: Epoch,
        incarnation: Incarnation,
        ttl: Millis,
        task_ttl: Millis,
    ) -> Result<LeaseChange, Refusal> {
        let change = match self.highest {
            None => LeaseChange::New,
            Some((known, run)) if epoch < known || incarnation < run => {
                let text = format!(
                    "the worker granted epoch {epoch} of run {incarnation} after epoch {known} of run {run}"
                );
                return Err(Refusal::new(ResultCode::EpochInvariant, text));
            }
            Some((_, run)) if incarnation > run => LeaseChange::Restarted,
            Some((known, _)) if epoch > known => LeaseChange::New,
            Some(_) => LeaseChange::Renewed,
        };
        self.pending = None;
        self.highest = Some((epoch, incarnation));
        if change != LeaseChange::Renewed {
            // The worker refuses renewals of an earlier epoch, however late they arrive.
            self.unconfirmed = 0;
        }
        self.note_confirmed(Confirmed {
            received_at,
            ttl,
            task_ttl,
        });
        // An answer that arrives out of order must not shorten the lease.
        let newest = self.grant.is_none_or(|grant| grant.sent_at <= sent_at);
        if newest {
            self.grant = Some(Grant { sent_at, ttl });
        }
        Ok(change)
    }

    /// Ends the lease: the worker refused it, so another holder has a higher epoch.
    pub fn on_refused(&mut self) {
        self.pending = None;
        self.grant = None;
    }

    /// Notes that a request ended without an answer at `now`: the worker may have renewed until then.
    pub fn on_unknown(&mut self) {
        self.pending = None;
        self.unconfirmed += 1;
    }

    /// Tells whether a start sent now arrives under the lease.
    pub fn may_send(&self, now: Timestamp) -> bool {
        let end = |grant: &Grant| grant.sent_at.after(grant.ttl);
        self.grant
            .is_some_and(|grant| now.after(self.margin) < end(&grant))
    }

    /// Tells whether a renewal is due, with none being sent.
    pub fn renewal_due(&self, now: Timestamp) -> bool {
        let Some(grant) = self.grant else {
            return self.pending.is_none();
        };
        let wait = Millis::new(grant.ttl.get() / RENEWALS_PER_TTL);
        self.pending.is_none() && now >= grant.sent_at.after(wait)
    }

    /// Tells whether the lease ended or was never granted.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        self.grant
            .is_none_or(|grant| now >= grant.sent_at.after(grant.ttl))
    }

    /// Returns when the tasks of this shard have stopped on the worker for certain; `None` if the lease was never
    /// granted in this epoch of the shard, or while a request is out.
    ///
    /// The worker takes a renewal only while the lease is valid there. So each renewal without an answer moves the end by
    /// at most one time to live, and a start in doubt is taken within one more.
    pub fn tasks_stopped_by(&self) -> Option<Timestamp> {
        let confirmed = self.confirmed.filter(|_| self.pending.is_none())?;
        let leases = Millis::new(confirmed.ttl.get().saturating_mul(self.unconfirmed + 1));
        let renewed = confirmed.received_at.after(leases);
        Some(renewed.after(confirmed.task_ttl).after(self.margin))
    }

    /// Tells whether the tasks of this shard have stopped on the worker for certain.
    pub fn tasks_certainly_stopped(&self, now: Timestamp) -> bool {
        self.tasks_stopped_by().is_some_and(|at| now >= at)
    }

    /// Returns the highest epoch that the worker granted.
    pub fn epoch(&self) -> Option<Epoch> {
        self.highest.map(|(epoch, _)| epoch)
    }

    /// Tells whether tasks of this shard may still run on the worker.
    pub fn tasks_may_run(&self, now: Timestamp) -> bool {
        let touched = self.pending.is_some() || self.confirmed.is_some();
        touched && !self.tasks_certainly_stopped(now)
    }

    /// Takes the answer to a fence: from now on the worker refuses renewals by earlier owners, whose last one may have
    /// come just before.
    pub fn on_fenced(&mut self, received_at: Timestamp, task_ttl: Millis) {
        self.note_confirmed(Confirmed {
            received_at,
            ttl: Millis::ZERO,
            task_ttl,
        });
    }

    /// Returns the epoch to renew; `None` if a new one must be asked for.
    pub fn renewable_epoch(&self, now: Timestamp) -> Option<Epoch> {
        let renewable_epoch = !self.is_expired(now) && self.unconfirmed < MAX_UNCONFIRMED;
        self.epoch().filter(|_| renewable_epoch)
    }

    fn note_confirmed(&mut self, newer: Confirmed) {
        let lapse = |known: Confirmed| known.received_at.after(known.ttl).after(known.task_ttl);
        if self
            .confirmed
            .is_none_or(|known| lapse(known) < lapse(newer))
        {
            self.confirmed = Some(newer);
        }
    }
}
