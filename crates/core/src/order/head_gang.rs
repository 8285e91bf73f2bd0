use crate::id::WorkId;
use crate::policy::Percent;
use crate::unit::{Millis, Timestamp};

/// Wait after acceptance before workers are held. A job that fits somewhere is usually placed within this time.
const HOLD_AFTER: Millis = Millis::new(1_000);
/// Time after which a larger share of the fleet may be held. A head gang that was not tried for as long is replaced.
const ROUND: Millis = Millis::new(30_000);
/// Percentage of the fleet that may be held, added in each round. Under a fixed bound, a job that needs most of the
/// fleet would never start.
const SHARE_PER_ROUND: u64 = 25;

/// The gang job for which workers are held, out of those that could not be placed.
///
/// Until workers are held, an older job that could not be placed replaces it, so that jobs become the head gang in
/// order of acceptance.
#[derive(Debug, Default)]
pub struct HeadGang {
    head: Option<Head>,
}

#[derive(Debug)]
struct Head {
    work: WorkId,
    enqueued: Timestamp,
    since: Timestamp,
    tried_at: Timestamp,
    replanned_at: Timestamp,
}

impl Head {
    fn new(work: &WorkId, enqueued: Timestamp, now: Timestamp) -> Self {
        Self {
            work: work.clone(),
            enqueued,
            since: now,
            tried_at: now,
            replanned_at: now,
        }
    }

    /// Returns the time from which workers are held for the job.
    fn holds_from(&self) -> Timestamp {
        self.since.max(self.enqueued.after(HOLD_AFTER))
    }
}

impl HeadGang {
    /// Records that a job could not be placed. Returns the share of the fleet to hold for it, or `None` if no workers
    /// are to be held for it now.
    pub fn record_not_placed(
        &mut self,
        work: &WorkId,
        enqueued: Timestamp,
        now: Timestamp,
    ) -> Option<Percent> {
        let head = self
            .head
            .get_or_insert_with(|| Head::new(work, enqueued, now));
        if head.work != *work {
            if enqueued >= head.enqueued || head.holds_from() <= now {
                return None;
            }
            *head = Head::new(work, enqueued, now);
        }
        head.tried_at = now;
        let from = head.holds_from();
        if now < from {
            return None;
        }
        let rounds = now.since(from).get() / ROUND.get() + 1;
        let share = rounds.saturating_mul(SHARE_PER_ROUND).min(100);
        Some(Percent::new(share as u8))
    }

    /// Removes `work` if it is the head gang. Returns true if it was.
    pub fn remove(&mut self, work: &WorkId) -> bool {
        let removed = self.head.take_if(|head| head.work == *work);
        removed.is_some()
    }

    /// Returns the head gang.
    pub fn work(&self) -> Option<&WorkId> {
        self.head.as_ref().map(|head| &head.work)
    }

    /// Returns the head gang if it was not tried for a round, for example because its team is at its quota. The caller
    /// must then end its hold.
    pub fn timed_out(&self, now: Timestamp) -> Option<WorkId> {
        let head = self.head.as_ref()?;
        is_due(head.tried_at, ROUND, now).then(|| head.work.clone())
    }

    /// Returns true once in each round, when the held workers are to be planned again.
    pub fn take_replan(&mut self, now: Timestamp) -> bool {
        let due = |head: &&mut Head| is_due(head.replanned_at, ROUND, now);
        let Some(head) = self.head.as_mut().filter(due) else {
            return false;
        };
        head.replanned_at = now;
        true
    }
}

fn is_due(from: Timestamp, wait: Millis, now: Timestamp) -> bool {
    from.after(wait) <= now
}
