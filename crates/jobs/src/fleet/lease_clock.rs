use lagoon_core::unit::{Millis, Timestamp};

/// Share by which an executor's clock may run slower than ours, in percent, rounded up from the platform's 2%.
const MAX_DRIFT_PERCENT: u64 = 3;

/// Time by which an answer may be older than one that arrived before it; the time for which an order's answer is waited for.
const MAX_REORDERING: Millis = Millis::new(1_000);

/// Age of a reading at which an idle executor is asked for another: leases granted on it are two seconds shorter.
const MAX_READING_AGE: Millis = Millis::new(65_000);

/// Relates the steady clock of an executor to ours and bounds when its runs have lapsed for certain.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseClock {
    /// Reading of the executor's clock, and when it arrived here.
    reading: Option<(u64, Timestamp)>,
    /// When the last list of the life that is read was asked for. It was alive after that.
    asked: Timestamp,
    expired_at: Timestamp,
}

impl LeaseClock {
    /// Takes a reading of the executor's clock in milliseconds, from an answer to a call that was sent at `asked`.
    pub fn record_reading(&mut self, executor_ms: u64, asked: Timestamp, now: Timestamp) {
        self.asked = self.asked.max(asked);
        // An answer that was overtaken carries an older reading; the newer one is closer.
        if self.reading.is_none_or(|(known, _)| executor_ms >= known) {
            self.reading = Some((executor_ms, now));
        }
    }

    /// Tells whether a reading that arrives now is of the life that was read last. A later life began after the last list was
    /// asked for, and its clock, which starts at zero, can't have come further than the time since.
    pub fn is_same_incarnation(&self, executor_ms: u64, now: Timestamp) -> bool {
        let passed = now.since(self.asked).get();
        let is_older = executor_ms > passed + passed * MAX_DRIFT_PERCENT / 100;
        self.has_reading() && is_older && !self.has_gone_back(executor_ms)
    }

    /// Tells whether a reading is of a life that began since the last one.
    pub fn has_gone_back(&self, executor_ms: u64) -> bool {
        let goes_back = |known| executor_ms.saturating_add(MAX_REORDERING.get()) < known;
        self.reading.is_some_and(|(known, _)| goes_back(known))
    }

    /// Forgets the reading, because the clock of a new life starts anew.
    pub fn reset(&mut self) {
        self.reading = None;
        self.asked = Timestamp::default();
    }

    /// Returns the time on the executor's clock at which a lease granted now ends, and remembers the grant; `None`
    /// before the first reading. The clock is taken for the slowest that it may be, so that no lease lasts longer than `lease`
    /// on that clock, however old the reading is: a later owner counts on it.
    pub fn grant(&mut self, lease: Millis, now: Timestamp) -> Option<u64> {
        let (executor_ms, at) = self.reading?;
        let passed = now.since(at).get();
        let ahead = passed - passed * MAX_DRIFT_PERCENT / 100 + lease.get();
        let longest = ahead + ahead * MAX_DRIFT_PERCENT / 100;
        self.expired_at = self.expired_at.max(at.after(Millis::new(longest)));
        Some(executor_ms + ahead)
    }

    /// Notes that an earlier owner may have granted a lease of this length a moment ago.
    pub fn assume_granted(&mut self, lease: Millis, now: Timestamp) {
        let longest = lease.get() + lease.get() * MAX_DRIFT_PERCENT / 100;
        self.expired_at = self.expired_at.max(now.after(Millis::new(longest)));
    }

    /// Tells whether everything that was started there under a granted lease has ended for certain.
    pub fn has_expired(&self, now: Timestamp) -> bool {
        now > self.expired_at
    }

    /// Tells whether the reading is so old that leases granted on it would be much shorter than meant.
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        self.reading
            .is_some_and(|(_, at)| now.since(at) > MAX_READING_AGE)
    }

    /// Tells whether the executor's clock has been read.
    pub fn has_reading(&self) -> bool {
        self.reading.is_some()
    }
}
