use std::collections::VecDeque;

use crate::id::JobId;
use crate::record::{Ledger, RecordNumber};

/// Position in the ends that one life of an executor lists: which were handled, and which may be acknowledged.
#[derive(Debug, Clone, Default)]
pub struct EndCursor {
    handled: u64,
    pending: VecDeque<(u64, JobId, RecordNumber)>,
    acknowledged: u64,
    sent: u64,
}

impl EndCursor {
    /// Tells whether an end was handled before; executors list ends until they are acknowledged.
    pub fn is_handled(&self, sequence: u64) -> bool {
        sequence <= self.handled
    }

    /// Notes that an end was handled; it may be acknowledged once `record` of its job is durable.
    pub fn handle(&mut self, sequence: u64, job: JobId, record: RecordNumber) {
        self.handled = sequence;
        self.pending.push_back((sequence, job, record));
    }

    /// Moves the acknowledgement up to the first end that is not durable.
    pub fn advance(&mut self, ledger: &Ledger) {
        while let Some((sequence, job, record)) = self.pending.front()
            && ledger.is_durable(*job, *record)
        {
            self.acknowledged = *sequence;
            self.pending.pop_front();
        }
    }

    /// Returns the last end that may be acknowledged, and notes that it is sent.
    pub fn acknowledge(&mut self) -> u64 {
        self.sent = self.acknowledged;
        self.acknowledged
    }

    /// Tells whether the records of all ends that were handled are durable.
    pub fn is_durable(&self, ledger: &Ledger) -> bool {
        let mut pending = self.pending.iter();
        pending.all(|(_, job, record)| ledger.is_durable(*job, *record))
    }

    /// Tells whether an end waits for its record.
    pub fn awaits_record(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells whether an acknowledgement was not sent yet.
    pub fn has_unsent(&self) -> bool {
        self.sent < self.acknowledged
    }
}
