//! Assembly of a commit: the contents of segments, snapshots and the next head.

use std::sync::Arc;

use crate::id::Sequence;
use crate::journal::journal_core::Journal;
use crate::journal::proposal::{Proposal, StagedValues};
use crate::journal::{
    Head, JournalEntry, JournalEvent, Segment, SegmentRef, StoreRequest, StoreVersion, json_size,
};

/// Returns the size of an entry including the comma that separates it from the next one.
pub(super) fn entry_bytes(entry: &JournalEntry) -> u64 {
    json_size(entry).saturating_add(1)
}

impl Journal {
    /// Stages a snapshot if one was requested, or a segment if the pending entries don't fit in the tail.
    pub(super) fn stage_values(&mut self) {
        if self.staged.is_some() {
            return;
        }
        if std::mem::take(&mut self.snapshot_requested) {
            self.state.prune(self.latest_time);
            let (parts, bytes) = self.snapshot_parts();
            self.staged = Some(self.staged_values(parts, bytes, true, 0));
            return;
        }
        let pending_bytes = self.pending_bytes;
        if pending_bytes == 0 || self.tail_bytes + pending_bytes <= self.limits.tail.get() {
            return;
        }
        let available_bytes = self.segment_capacity().saturating_sub(self.tail_bytes);
        let (entries, added) = self.count_fitting(0, available_bytes);
        let pending = self.pending.iter().take(entries);
        let pending = pending.map(|(entry, _)| entry.clone());
        let segment_entries = self.head.tail.iter().cloned().chain(pending).collect();
        let parts = vec![Arc::new(Segment {
            entries: segment_entries,
        })];
        self.staged = Some(self.staged_values(parts, self.tail_bytes + added, false, entries));
    }

    fn staged_values(
        &self,
        parts: Vec<Arc<Segment>>,
        bytes: u64,
        snapshot: bool,
        entries: usize,
    ) -> StagedValues {
        let reference = SegmentRef {
            epoch: self.head.epoch,
            sequence: self.head.next_segment,
            parts: parts.len() as u32,
        };
        StagedValues {
            reference,
            parts,
            written: 0,
            snapshot,
            bytes,
            entries,
        }
    }

    fn snapshot_parts(&self) -> (Vec<Arc<Segment>>, u64) {
        let mut parts = Vec::new();
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut total = 0;
        for entry in self.state.to_entries() {
            let size = entry_bytes(&entry);
            if bytes + size > self.segment_capacity() && !entries.is_empty() {
                let entries = std::mem::take(&mut entries);
                parts.push(Arc::new(Segment { entries }));
                bytes = 0;
            }
            bytes += size;
            total += size;
            entries.push(entry);
        }
        // An empty state still needs one part for the head to refer to.
        parts.push(Arc::new(Segment { entries }));
        (parts, total)
    }

    /// Returns the space for entries in a segment, excluding its braces and field name.
    fn segment_capacity(&self) -> u64 {
        let empty = Segment {
            entries: Vec::new(),
        };
        self.limits.value.get().saturating_sub(json_size(&empty))
    }

    /// Returns the number of pending entries from `start` on that fit in `room`, and their size.
    fn count_fitting(&self, start: usize, available_bytes: u64) -> (usize, u64) {
        let mut used = 0;
        let mut count = 0;
        for (_, bytes) in self.pending.iter().skip(start) {
            if used + bytes > available_bytes {
                break;
            }
            used += bytes;
            count += 1;
        }
        (count, used)
    }

    pub(super) fn next_part(&self) -> Option<StoreRequest> {
        let staged = self.staged.as_ref()?;
        let value = staged.parts.get(staged.written)?.clone();
        let sequence = staged.reference.sequences().nth(staged.written)?;
        let epoch = staged.reference.epoch;
        Some(match staged.snapshot {
            true => {
                let key = self.keys.snapshot(epoch, sequence);
                StoreRequest::PutSnapshot { key, value }
            }
            false => {
                let key = self.keys.segment(epoch, sequence);
                StoreRequest::PutSegment { key, value }
            }
        })
    }

    pub(super) fn part_written(&mut self) {
        if let Some(staged) = &mut self.staged {
            staged.written += 1;
        }
    }

    /// Builds the next head from the staged values and as many pending entries as fit in the tail.
    pub(super) fn propose(&mut self) {
        let staged = self.staged.as_ref().filter(|staged| staged.complete());
        if staged.is_none() && self.pending.is_empty() {
            return;
        }
        let mut head = Head::clone(&self.head);
        head.commit += 1;
        let in_segment = staged.map_or(0, |staged| staged.entries);
        let mut tail_bytes = self.tail_bytes;
        if let Some(staged) = staged {
            let reference = staged.reference;
            let next = reference.sequence.get() + u64::from(reference.parts);
            head.next_segment = Sequence::new(next);
            head.tail.clear();
            tail_bytes = 0;
            if staged.snapshot {
                head.segments.clear();
                head.snapshot = Some(reference);
            } else {
                head.segments.push(reference);
            }
        }
        let available_bytes = self.limits.tail.get().saturating_sub(tail_bytes);
        let (in_tail, bytes) = self.count_fitting(in_segment, available_bytes);
        let entries = in_segment + in_tail;
        let added = self.pending.iter().skip(in_segment).take(in_tail);
        head.tail.extend(added.map(|(entry, _)| entry.clone()));
        for (entry, _) in self.pending.iter().take(entries) {
            if let JournalEntry::Accepted { work, .. } = entry {
                head.next_work = head.next_work.max(work.sequence().next());
            }
        }
        self.proposal = Some(Proposal {
            head: Arc::new(head),
            entries,
            tail_bytes: tail_bytes + bytes,
            in_doubt: false,
        });
    }

    /// Makes the proposed head the durable one and applies its entries.
    pub(super) fn commit(&mut self, version: StoreVersion) -> Vec<JournalEvent> {
        let Some(proposal) = self.proposal.take() else {
            return Vec::new();
        };
        match self.staged.take() {
            Some(staged) if staged.snapshot => {
                self.unreferenced.extend(self.head.keys(&self.shard));
                self.snapshot_bytes = staged.bytes;
                self.segment_bytes = 0;
            }
            Some(staged) => self.segment_bytes += staged.bytes,
            None => {}
        }
        self.head = proposal.head;
        self.version = version;
        self.tail_bytes = proposal.tail_bytes;
        self.delete_due = true;
        for (entry, bytes) in self.pending.drain(..proposal.entries) {
            self.pending_bytes -= bytes;
            self.state.apply(&entry);
        }
        self.committed += proposal.entries as u64;
        let up_to = self.committed_up_to();
        let mut events = vec![JournalEvent::Committed { up_to }];
        events.extend(self.ownership_checks.confirm());
        if self.snapshot_due() && !self.snapshot_requested {
            events.push(JournalEvent::SnapshotNeeded);
        }
        events
    }

    /// Returns true if a snapshot is due. Snapshots are delayed until the segments are as large as the last snapshot,
    /// so that they at most double the bytes written.
    fn snapshot_due(&self) -> bool {
        let segments = self.head.segments.len();
        let outgrew_snapshot = self.segment_bytes >= self.snapshot_bytes;
        segments >= self.limits.max_segments()
            || segments >= self.limits.segments && outgrew_snapshot
    }
}
