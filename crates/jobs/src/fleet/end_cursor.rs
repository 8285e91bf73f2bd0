use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::id::JobId;
use crate::record::{RecordNumber, WriteQueue};
use crate::run::EndedRun;

/// Position in the ended runs that one incarnation of an executor lists: which were handled, and which may be
/// acknowledged.
#[derive(Debug, Clone, Default)]
pub struct EndCursor {
    /// Ends that were handled but not acknowledged, each with the record that has to be durable first.
    handled: BTreeMap<u64, (JobId, RecordNumber)>,
    /// Ends of jobs that are not known yet. No end from the first of these on is acknowledged.
    deferred: BTreeMap<u64, EndedRun>,
    acknowledged: u64,
    sent: u64,
    /// Highest sequence number that was listed.
    listed: u64,
}

impl EndCursor {
    /// Returns true if an end was handled before. Executors list an end until it is acknowledged.
    pub fn is_handled(&self, sequence: u64) -> bool {
        sequence <= self.acknowledged || self.handled.contains_key(&sequence)
    }

    /// Records that an end was handled. It may be acknowledged once `record` of its job is durable.
    pub fn mark_handled(&mut self, sequence: u64, job: JobId, record: RecordNumber) {
        self.listed = self.listed.max(sequence);
        self.deferred.remove(&sequence);
        self.handled.insert(sequence, (job, record));
    }

    /// Defers an end until its job becomes known. Returns true if it was not deferred before.
    pub fn defer(&mut self, end: &EndedRun) -> bool {
        self.listed = self.listed.max(end.sequence);
        let previous = self.deferred.insert(end.sequence, end.clone());
        previous.is_none()
    }

    /// Returns the deferred ends of a job.
    pub fn deferred_for(&self, job: JobId) -> SmallVec<[EndedRun; 4]> {
        let ends = self.deferred.values();
        ends.filter(|end| end.task.job() == job).cloned().collect()
    }

    /// Returns true if an end is deferred until its job becomes known.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Drops the wait for the records of a job that was forgotten. Its final state was durable.
    pub fn forget_job(&mut self, job: JobId) {
        let of_job = self.handled.values_mut().filter(|(id, _)| *id == job);
        of_job.for_each(|(_, record)| *record = RecordNumber::default());
    }

    /// Advances the acknowledgement up to the first end that is deferred or not durable.
    pub fn advance(&mut self, write_queue: &WriteQueue) {
        while let Some(first) = self.handled.first_entry() {
            let (sequence, (job, record)) = (*first.key(), *first.get());
            let first_deferred = self.deferred.first_key_value();
            let is_next = first_deferred.is_none_or(|(deferred, _)| sequence < *deferred);
            if !is_next || !write_queue.is_durable(job, record) {
                return;
            }
            self.acknowledged = sequence;
            first.remove();
        }
    }

    /// Returns the sequence number of the last end that may be acknowledged, and records it as sent.
    pub fn acknowledge(&mut self) -> u64 {
        self.sent = self.acknowledged;
        self.acknowledged
    }

    /// Returns true if the record of a handled end is not durable yet.
    pub fn awaits_record(&self, write_queue: &WriteQueue) -> bool {
        let mut handled = self.handled.values();
        handled.any(|(job, record)| !write_queue.is_durable(*job, *record))
    }

    /// Returns true if every listed end is handled and durable.
    pub fn is_settled(&self, write_queue: &WriteQueue) -> bool {
        !self.has_deferred() && !self.awaits_record(write_queue)
    }

    /// Has the last acknowledgement sent again, because the hold that carried it may be lost.
    pub fn resend(&mut self) {
        self.sent = 0;
    }

    /// Drops an acknowledgement that was not sent, because its executor is gone.
    pub fn drop_unsent(&mut self) {
        self.sent = self.acknowledged;
    }

    /// Returns true if an acknowledgement was not sent yet.
    pub fn has_unsent(&self) -> bool {
        self.sent < self.acknowledged
    }

    /// Returns true if the executor still lists an end. It answers each hold at once as long as it does.
    pub fn is_listing(&self) -> bool {
        self.sent < self.listed
    }
}
