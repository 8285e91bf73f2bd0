use crate::id::WorkId;
use crate::policy::Percent;
use crate::unit::{Millis, Timestamp};

/// Wait before workers are held. A job that fits somewhere is usually placed in this time.
const HOLD_AFTER: Millis = Millis::new(1_000);
/// Time after which more of the fleet may be held, and after which a job that was not tried gives up the first place.
const ROUND: Millis = Millis::new(30_000);
/// Part of the fleet that may be held in the first round; one more such part is added in each later round. A job that
/// needs most of the fleet would never start under a fixed bound.
const SHARE_PER_ROUND: u64 = 25;

/// The gang job in the first place of those that did not fit.
///
/// Until workers are held, an older job that did not fit takes the place, so that every job gets it in turn.
#[derive(Debug, Default)]
pub struct HeadGang {
    place: Option<Place>,
}

#[derive(Debug)]
struct Place {
    work: WorkId,
    enqueued: Timestamp,
    since: Timestamp,
    tried_at: Timestamp,
    renewed_at: Timestamp,
}

impl Place {
    fn new(work: &WorkId, enqueued: Timestamp, now: Timestamp) -> Self {
        Self {
            work: work.clone(),
            enqueued,
            since: now,
            tried_at: now,
            renewed_at: now,
        }
    }

    /// Returns the time from which workers are held.
    fn holds_from(&self) -> Timestamp {
        self.since.max(self.enqueued.after(HOLD_AFTER))
    }
}

impl HeadGang {
    /// Notes that a job did not fit; returns the share of the fleet to hold for it, none if it waits unaided.
    pub fn record_not_placed(
        &mut self,
        work: &WorkId,
        enqueued: Timestamp,
        now: Timestamp,
    ) -> Option<Percent> {
        let place = self
            .place
            .get_or_insert_with(|| Place::new(work, enqueued, now));
        if place.work != *work {
            if enqueued >= place.enqueued || place.holds_from() <= now {
                return None;
            }
            *place = Place::new(work, enqueued, now);
        }
        place.tried_at = now;
        let from = place.holds_from();
        if now < from {
            return None;
        }
        let rounds = now.since(from).get() / ROUND.get() + 1;
        let share = rounds.saturating_mul(SHARE_PER_ROUND).min(100);
        Some(Percent::new(share as u8))
    }

    /// Gives up the first place if `work` has it; returns whether it had.
    pub fn remove(&mut self, work: &WorkId) -> bool {
        let left = self.place.take_if(|place| place.work == *work);
        left.is_some()
    }

    /// Returns the job in the first place.
    pub fn work(&self) -> Option<&WorkId> {
        self.place.as_ref().map(|place| &place.work)
    }

    /// Returns the job if it was not tried for a round, such as one whose team is at its quota. Workers must not be
    /// held for it any longer.
    pub fn timed_out(&self, now: Timestamp) -> Option<WorkId> {
        let place = self.place.as_ref()?;
        is_due(place.tried_at, ROUND, now).then(|| place.work.clone())
    }

    /// Tells once in each round that the held workers are to be reconsidered.
    pub fn take_replan(&mut self, now: Timestamp) -> bool {
        let due = |place: &&mut Place| is_due(place.renewed_at, ROUND, now);
        let Some(place) = self.place.as_mut().filter(due) else {
            return false;
        };
        place.renewed_at = now;
        true
    }
}

fn is_due(from: Timestamp, wait: Millis, now: Timestamp) -> bool {
    from.after(wait) <= now
}
