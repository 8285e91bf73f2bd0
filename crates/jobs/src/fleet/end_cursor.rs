use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::id::JobId;
use crate::record::{RecordNumber, WriteQueue};
use crate::run::EndedRun;

/// Position in the ends that one life of an executor lists: which were handled, and which may be acknowledged.
#[derive(Debug, Clone, Default)]
pub struct EndCursor {
    /// Ends that were handled and not acknowledged, each with what has to be durable before.
    handled: BTreeMap<u64, (JobId, RecordNumber)>,
    /// Ends of jobs that are not known yet. Nothing from the first of them on is acknowledged.
    deferred: BTreeMap<u64, EndedRun>,
    acknowledged: u64,
    sent: u64,
    /// Last end that was listed.
    listed: u64,
}

impl EndCursor {
    /// Tells whether an end was handled before; executors list ends until they are acknowledged.
    pub fn is_handled(&self, sequence: u64) -> bool {
        sequence <= self.acknowledged || self.handled.contains_key(&sequence)
    }

    /// Notes that an end was handled; it may be acknowledged once `record` of its job is durable.
    pub fn mark_handled(&mut self, sequence: u64, job: JobId, record: RecordNumber) {
        self.listed = self.listed.max(sequence);
        self.deferred.remove(&sequence);
        self.handled.insert(sequence, (job, record));
    }

    /// Keeps an end until its job becomes known; true if it was not kept before.
    pub fn defer(&mut self, end: &EndedRun) -> bool {
        self.listed = self.listed.max(end.sequence);
        let earlier = self.deferred.insert(end.sequence, end.clone());
        earlier.is_none()
    }

    /// Returns the ends of a job that wait for it to become known.
    pub fn deferred_for(&self, job: JobId) -> SmallVec<[EndedRun; 4]> {
        let ends = self.deferred.values();
        ends.filter(|end| end.task.job() == job).cloned().collect()
    }

    /// Tells whether an end waits for its job to become known.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Notes that a job was forgotten, whose final state was durable.
    pub fn forget_job(&mut self, job: JobId) {
        let of_job = self.handled.values_mut().filter(|(id, _)| *id == job);
        of_job.for_each(|(_, record)| *record = RecordNumber::default());
    }

    /// Moves the acknowledgement up to the first end that waits or is not durable.
    pub fn advance(&mut self, write_queue: &WriteQueue) {
        while let Some(first) = self.handled.first_entry() {
            let (sequence, (job, record)) = (*first.key(), *first.get());
            let waits = self.deferred.first_key_value();
            let is_next = waits.is_none_or(|(waits, _)| sequence < *waits);
            if !is_next || !write_queue.is_durable(job, record) {
                return;
            }
            self.acknowledged = sequence;
            first.remove();
        }
    }

    /// Returns the last end that may be acknowledged, and notes that it is sent.
    pub fn acknowledge(&mut self) -> u64 {
        self.sent = self.acknowledged;
        self.acknowledged
    }

    /// Tells whether the record of an end that was handled is not durable.
    pub fn awaits_record(&self, write_queue: &WriteQueue) -> bool {
        let mut handled = self.handled.values();
        handled.any(|(job, record)| !write_queue.is_durable(*job, *record))
    }

    /// Tells whether every end that was listed is handled and durable.
    pub fn is_settled(&self, write_queue: &WriteQueue) -> bool {
        !self.has_deferred() && !self.awaits_record(write_queue)
    }

    /// Notes that the hold with the last acknowledgement may be lost, so that it is sent again.
    pub fn resend(&mut self) {
        self.sent = 0;
    }

    /// Tells whether an acknowledgement was not sent yet.
    pub fn has_unsent(&self) -> bool {
        self.sent < self.acknowledged
    }

    /// Tells whether the executor still lists an end, for which it answers each hold at once.
    pub fn is_listing(&self) -> bool {
        self.sent < self.listed
    }
}
