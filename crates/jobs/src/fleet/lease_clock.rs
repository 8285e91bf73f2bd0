use lagoon_core::unit::{Millis, Timestamp};

use crate::fleet::ClockGeneration;

/// Drift between an executor's clock and the owner's, in percent; the platform's bound of 2%, rounded up.
const MAX_DRIFT_PERCENT: u64 = 3;

/// Longest time by which an answer may be older than one that arrived before it; equal to the timeout of a request.
const MAX_REORDERING: Millis = Millis::new(1_000);

/// Age at which a reading is renewed on an idle executor. Leases granted on a reading of this age are two seconds
/// short.
const MAX_READING_AGE: Millis = Millis::new(65_000);

/// Relates the monotonic clock of an executor to the owner's, and bounds when the leases granted there have expired.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseClock {
    /// Number of clocks before the one being read.
    generation: ClockGeneration,
    /// Reading of the executor's clock in milliseconds, and when it arrived.
    reading: Option<(u64, Timestamp)>,
    /// When the latest list of the incarnation being read was requested. The incarnation was alive after that.
    list_requested_at: Timestamp,
    /// When all leases that may have been granted to the incarnation being read have expired.
    expires_at: Timestamp,
    /// When the last unanswered request that may have granted a lease was given up.
    unanswered_at: Timestamp,
    /// When all leases that unanswered requests may have granted to a later incarnation have expired.
    unanswered_expire_at: Timestamp,
    /// When all leases that requests with a lease end on an earlier clock may have granted have expired.
    earlier_expire_at: Timestamp,
}

impl LeaseClock {
    /// Records a reading of the executor's clock in milliseconds, taken from the answer to a request sent at `sent_at`.
    pub fn record_reading(&mut self, executor_ms: u64, sent_at: Timestamp, now: Timestamp) {
        self.list_requested_at = self.list_requested_at.max(sent_at);
        // An answer that arrives out of order carries an older reading. The newer one is kept, because it is more
        // precise.
        if self.reading.is_none_or(|(known, _)| executor_ms >= known) {
            self.reading = Some((executor_ms, now));
        }
    }

    /// Records that the incarnation being read has answered another request that was sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        if self.has_reading() {
            self.list_requested_at = self.list_requested_at.max(sent_at);
        }
    }

    /// Returns true if a reading that arrives now is from the same incarnation as the last one.
    ///
    /// A later incarnation started after the last list was requested, and its clock starts at zero, so that it can't
    /// show more than the time since then.
    pub fn is_same_incarnation(&self, executor_ms: u64, now: Timestamp) -> bool {
        let passed = now.since(self.list_requested_at).get();
        let predates_request = executor_ms > passed + passed * MAX_DRIFT_PERCENT / 100;
        self.has_reading() && predates_request && !self.has_gone_back(executor_ms)
    }

    /// Returns true if a connection of this age was established before the latest list was requested. Its process answered that
    /// list or had ended, so that a request sent on it can't have reached a later incarnation.
    pub fn predates_list(&self, connection_age: Option<Millis>, now: Timestamp) -> bool {
        let age = connection_age.filter(|_| self.has_reading());
        age.is_some_and(|age| age > now.since(self.list_requested_at))
    }

    /// Returns true if a reading is from a later incarnation, because it is lower than the last one.
    pub fn has_gone_back(&self, executor_ms: u64) -> bool {
        let goes_back = |known| executor_ms.saturating_add(MAX_REORDERING.get()) < known;
        self.reading.is_some_and(|(known, _)| goes_back(known))
    }

    /// Drops the reading, because the clock of a new incarnation starts at zero. Unanswered requests, and those in flight, may
    /// take effect in the new incarnation up to `delay` from now and grant `max_lease`.
    pub fn reset(&mut self, delay: Millis, max_lease: Millis, now: Timestamp) {
        if self.reading.is_some() {
            let end = now.after(delay).after(longest(max_lease));
            self.earlier_expire_at = self.earlier_expire_at.max(end);
        }
        self.generation = self.generation.next();
        self.reading = None;
        self.list_requested_at = Timestamp::default();
        self.expires_at = self.expires_at.max(self.unanswered_expire_at);
    }

    /// Returns the generation of the clock being read, to which granted lease ends refer.
    pub fn generation(&self) -> ClockGeneration {
        self.generation
    }

    /// Records that a request whose lease end refers to `generation` is not answered. If the executor had restarted, the
    /// request may take effect up to `delay` from now and grant `max_lease`, because its lease end is a time on the earlier
    /// clock.
    pub fn record_unanswered(
        &mut self,
        generation: ClockGeneration,
        delay: Millis,
        max_lease: Millis,
        now: Timestamp,
    ) {
        let end = now.after(delay).after(longest(max_lease));
        if generation == self.generation {
            self.unanswered_at = now;
            self.unanswered_expire_at = end;
        } else {
            self.expires_at = self.expires_at.max(end);
            self.earlier_expire_at = self.earlier_expire_at.max(end);
        }
    }

    /// Records a list of the known incarnation that was requested at `sent_at`. Requests that were given up before reached
    /// this incarnation or none, because their connections ended with its process.
    pub fn confirm_incarnation(&mut self, sent_at: Timestamp) {
        if self.unanswered_at < sent_at {
            self.unanswered_expire_at = Timestamp::default();
        }
    }

    /// Grants a lease and returns its end on the executor's clock, in milliseconds; `None` before the first reading.
    ///
    /// The clock is assumed to run as slowly as it may, so that no lease lasts longer than `lease` on that clock,
    /// however old the reading is. A later owner relies on this bound.
    pub fn grant(&mut self, lease: Millis, now: Timestamp) -> Option<u64> {
        let (executor_ms, at) = self.reading?;
        let passed = now.since(at).get();
        let ahead = passed - passed * MAX_DRIFT_PERCENT / 100 + lease.get();
        let longest = ahead + ahead * MAX_DRIFT_PERCENT / 100;
        self.expires_at = self.expires_at.max(at.after(Millis::new(longest)));
        Some(executor_ms + ahead)
    }

    /// Records that an earlier owner may have granted a lease of this length just before `now`.
    pub fn assume_granted(&mut self, lease: Millis, now: Timestamp) {
        self.expires_at = self.expires_at.max(now.after(longest(lease)));
    }

    /// Records that a request whose lease end refers to `generation` may have granted a lease of this length just before `now`.
    pub fn assume_granted_on(
        &mut self,
        generation: ClockGeneration,
        lease: Millis,
        now: Timestamp,
    ) {
        self.assume_granted(lease, now);
        if generation != self.generation {
            self.earlier_expire_at = self.earlier_expire_at.max(now.after(longest(lease)));
        }
    }

    /// Returns true if all leases granted on the executor have expired, so that every run under them has ended.
    pub fn has_expired(&self, now: Timestamp) -> bool {
        now > self.expires_at
    }

    /// Returns true if all leases have expired, including those that unanswered requests may have granted to a later
    /// incarnation.
    pub fn has_expired_in_all_incarnations(&self, now: Timestamp) -> bool {
        now > self.expires_at.max(self.unanswered_expire_at)
    }

    /// Returns true if every lease of this owner that is in force ends at a time on the clock being read, and no request with
    /// a lease end on an earlier clock can take effect any more.
    pub fn has_sole_clock(&self, now: Timestamp) -> bool {
        self.has_reading() && now > self.earlier_expire_at
    }

    /// Returns true if the reading is so old that leases granted on it would be much too short.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        self.reading
            .is_some_and(|(_, at)| now.since(at) > MAX_READING_AGE)
    }

    /// Returns true if there is a reading of the clock of the current incarnation.
    pub fn has_reading(&self) -> bool {
        self.reading.is_some()
    }
}

/// Returns the longest time that a lease lasts on a slow clock.
fn longest(lease: Millis) -> Millis {
    Millis::new(lease.get() + lease.get() * MAX_DRIFT_PERCENT / 100)
}
