//! Workers held for the gang job at the head of those that did not fit.

use crate::id::WorkId;
use crate::order::QueueEntry;
use crate::shard::Shard;
use crate::unit::Timestamp;
use crate::work::WorkKind;

impl Shard {
    /// Records that a gang job does not fit now, and holds workers for it if it has been the head gang for long enough.
    pub(super) fn record_not_placed(&mut self, entry: &QueueEntry, now: Timestamp) {
        if entry.kind != WorkKind::Gang {
            return;
        }
        let (work, enqueued) = (&entry.work, entry.enqueued);
        let share = self.head_gang.record_not_placed(work, enqueued, now);
        let record = self.records.get(work);
        if let (Some(share), Some(record)) = (share, record) {
            let spec = &record.spec;
            let (count, need) = (spec.task_count, &spec.resources);
            self.fleet
                .hold_for_gang(count, need, &spec.placement, share);
        }
    }

    /// Ends the hold of workers if `work` is the head gang. Returns true if it was.
    pub(super) fn remove_head_gang(&mut self, work: &WorkId) -> bool {
        let left = self.head_gang.remove(work);
        if left {
            self.fleet.end_hold();
            self.on_capacity_freed();
        }
        left
    }

    /// Ends the hold for work that has started or ended. The oldest gang job that did not fit becomes the head gang.
    pub(super) fn end_gang_wait(&mut self, work: &WorkId, now: Timestamp) {
        if !self.remove_head_gang(work) {
            return;
        }
        // Before other work is tried, because the capacity freed on the held workers is meant for gang jobs.
        if let Some(next) = self.tasks.oldest_deferred_gang().cloned() {
            self.record_not_placed(&next, now);
            self.tasks.retry_work(&next.work);
        }
    }

    /// Retries the head gang. A job that could not be tried for a whole round, such as one whose team is at its quota,
    /// stops being the head gang.
    pub(super) fn check_gang_wait(&mut self, now: Timestamp) {
        if let Some(work) = self.head_gang.timed_out(now) {
            self.end_gang_wait(&work, now);
        }
        if self.head_gang.take_replan(now) {
            self.fleet.replan_hold();
        }
        if let Some(work) = self.head_gang.work() {
            self.tasks.retry_work(work);
        }
    }
}
