use crate::code::{Refusal, ResultCode};
use crate::id::{Epoch, Incarnation};
use crate::lease::LeaseChange;
use crate::unit::{Millis, Timestamp};

/// A renewal is due after one quarter of the time to live, which leaves time for two more tries.
const RENEWALS_PER_TTL: u64 = 4;

/// Unanswered renewals after which the holder requests a lease at a new epoch. Bounds the time returned by
/// [`WorkerLease::tasks_stopped_by`].
const MAX_UNANSWERED_RENEWALS: u64 = 4;

/// Lease on one worker, as seen by its holder. Each epoch of the shard needs a new `WorkerLease`.
#[derive(Debug)]
pub struct WorkerLease {
    margin: Millis,
    grant: Option<Grant>,
    // Retained after the lease ends, because the worker never accepts a lower epoch again.
    highest_granted: Option<(Epoch, Incarnation)>,
    request_sent_at: Option<Timestamp>,
    confirmation: Option<Confirmation>,
    // Unanswered renewals of the current epoch. Each may still reach the worker while the lease is valid there.
    unanswered_renewals: u64,
}

#[derive(Debug, Clone, Copy)]
struct Confirmation {
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
    /// Creates a lease that is not granted yet. `margin` covers the delay between a check and its effect, and clock
    /// drift.
    pub fn new(margin: Millis) -> Self {
        Self {
            margin,
            grant: None,
            highest_granted: None,
            request_sent_at: None,
            confirmation: None,
            unanswered_renewals: 0,
        }
    }

    /// Records that a lease request is about to be sent.
    pub fn on_sending(&mut self, sent_at: Timestamp) {
        self.request_sent_at = Some(sent_at);
    }

    /// Records a grant. Refused with `EpochInvariant` if the epoch or the incarnation is lower than in an earlier
    /// grant.
    ///
    /// `sent_at` must be read before the request is sent, and `received_at` after the answer was received.
    pub fn on_granted(
        &mut self,
        sent_at: Timestamp,
        received_at: Timestamp,
        epoch: Epoch,
        incarnation: Incarnation,
        ttl: Millis,
        task_ttl: Millis,
    ) -> Result<LeaseChange, Refusal> {
        let change = match self.highest_granted {
            None => LeaseChange::New,
            Some((known_epoch, known_incarnation))
                if epoch < known_epoch || incarnation < known_incarnation =>
            {
                let text = format!(
                    "the worker granted epoch {epoch} in incarnation {incarnation} after epoch {known_epoch} in incarnation {known_incarnation}"
                );
                return Err(Refusal::new(ResultCode::EpochInvariant, text));
            }
            Some((_, known_incarnation)) if incarnation > known_incarnation => {
                LeaseChange::Restarted
            }
            Some((known_epoch, _)) if epoch > known_epoch => LeaseChange::New,
            Some(_) => LeaseChange::Renewed,
        };
        self.request_sent_at = None;
        self.highest_granted = Some((epoch, incarnation));
        if change != LeaseChange::Renewed {
            // The worker refuses renewals of an earlier epoch, so delayed ones no longer count.
            self.unanswered_renewals = 0;
        }
        self.record_confirmation(Confirmation {
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

    /// Ends the lease after the worker refused it, which means that another holder has a higher epoch.
    pub fn on_refused(&mut self) {
        self.request_sent_at = None;
        self.grant = None;
    }

    /// Records that a request ended without an answer. The worker may have renewed the lease.
    pub fn on_unknown(&mut self) {
        self.request_sent_at = None;
        self.unanswered_renewals += 1;
    }

    /// Returns true if a start sent now reaches the worker while the lease is valid, allowing for `margin`.
    pub fn may_send(&self, now: Timestamp) -> bool {
        let end = |grant: &Grant| grant.sent_at.after(grant.ttl);
        self.grant
            .is_some_and(|grant| now.after(self.margin) < end(&grant))
    }

    /// Returns true if a renewal is due and no request is outstanding.
    pub fn renewal_due(&self, now: Timestamp) -> bool {
        let Some(grant) = self.grant else {
            return self.request_sent_at.is_none();
        };
        let wait = Millis::new(grant.ttl.get() / RENEWALS_PER_TTL);
        self.request_sent_at.is_none() && now >= grant.sent_at.after(wait)
    }

    /// Returns true if the lease expired, was refused or was never granted.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        self.grant
            .is_none_or(|grant| now >= grant.sent_at.after(grant.ttl))
    }

    /// Returns the time by which the tasks of this shard have certainly stopped on the worker. Returns `None` if the
    /// lease was never granted in this epoch of the shard, or while a request is outstanding.
    ///
    /// The worker accepts a renewal only while the lease is valid there. Each unanswered renewal therefore extends the
    /// lease by at most one time to live, and a start whose outcome is unknown is accepted within one more.
    pub fn tasks_stopped_by(&self) -> Option<Timestamp> {
        let confirmation = self
            .confirmation
            .filter(|_| self.request_sent_at.is_none())?;
        let valid_for = Millis::new(
            confirmation
                .ttl
                .get()
                .saturating_mul(self.unanswered_renewals + 1),
        );
        let lease_end = confirmation.received_at.after(valid_for);
        Some(lease_end.after(confirmation.task_ttl).after(self.margin))
    }

    /// Returns true if the tasks of this shard have certainly stopped on the worker.
    pub fn tasks_certainly_stopped(&self, now: Timestamp) -> bool {
        self.tasks_stopped_by().is_some_and(|at| now >= at)
    }

    /// Returns the highest epoch that the worker granted.
    pub fn epoch(&self) -> Option<Epoch> {
        self.highest_granted.map(|(epoch, _)| epoch)
    }

    /// Returns true if tasks of this shard may still run on the worker.
    pub fn tasks_may_run(&self, now: Timestamp) -> bool {
        let contacted = self.request_sent_at.is_some() || self.confirmation.is_some();
        contacted && !self.tasks_certainly_stopped(now)
    }

    /// Records the answer to a fence request. The worker refuses renewals by earlier owners from now on, but may have
    /// accepted one just before.
    pub fn on_fenced(&mut self, received_at: Timestamp, task_ttl: Millis) {
        self.record_confirmation(Confirmation {
            received_at,
            ttl: Millis::ZERO,
            task_ttl,
        });
    }

    /// Returns the epoch to renew, or `None` if a lease at a new epoch must be requested.
    pub fn renewable_epoch(&self, now: Timestamp) -> Option<Epoch> {
        let renewable = !self.is_expired(now) && self.unanswered_renewals < MAX_UNANSWERED_RENEWALS;
        self.epoch().filter(|_| renewable)
    }

    fn record_confirmation(&mut self, newer: Confirmation) {
        let tasks_stop_at =
            |known: Confirmation| known.received_at.after(known.ttl).after(known.task_ttl);
        if self
            .confirmation
            .is_none_or(|known| tasks_stop_at(known) < tasks_stop_at(newer))
        {
            self.confirmation = Some(newer);
        }
    }
}
