//! How a commit is put together: what goes into a segment, a snapshot and the next head.

use std::sync::Arc;

use crate::id::Sequence;
use crate::journal::journal_core::Journal;
use crate::journal::proposal::{Proposal, Staged};
use crate::journal::{
    Head, JournalEntry, JournalEvent, Segment, SegmentRef, StoreRequest, StoreVersion, json_size,
};

/// Returns the size of an entry with the comma that separates it from the next.
pub(super) fn entry_bytes(entry: &JournalEntry) -> u64 {
    json_size(entry).saturating_add(1)
}

impl Journal {
    /// Prepares a snapshot if one is wanted, or a segment if the tail can't take all that waits.
    pub(super) fn stage(&mut self) {
        if self.staged.is_some() {
            return;
        }
        if std::mem::take(&mut self.snapshot_wanted) {
            self.state.prune(self.latest);
            let (parts, bytes) = self.snapshot_parts();
            self.staged = Some(self.staged(parts, bytes, true, 0));
            return;
        }
        let waiting = self.pending_bytes;
        if waiting == 0 || self.tail_bytes + waiting <= self.limits.tail.get() {
            return;
        }
        let room = self.segment_room().saturating_sub(self.tail_bytes);
        let (entries, added) = self.fitting(0, room);
        let pending = self.pending.iter().take(entries);
        let pending = pending.map(|(entry, _)| entry.clone());
        let entries_of = self.head.tail.iter().cloned().chain(pending).collect();
        let parts = vec![Arc::new(Segment {
            entries: entries_of,
        })];
        self.staged = Some(self.staged(parts, self.tail_bytes + added, false, entries));
    }

    fn staged(
        &self,
        parts: Vec<Arc<Segment>>,
        bytes: u64,
        snapshot: bool,
        entries: usize,
    ) -> Staged {
        let reference = SegmentRef {
            epoch: self.head.epoch,
            sequence: self.head.next_segment,
            parts: parts.len() as u32,
        };
        Staged {
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
            if bytes + size > self.segment_room() && !entries.is_empty() {
                let entries = std::mem::take(&mut entries);
                parts.push(Arc::new(Segment { entries }));
                bytes = 0;
            }
            bytes += size;
            total += size;
            entries.push(entry);
        }
        // An empty state still needs a part, so that the head has something to refer to.
        parts.push(Arc::new(Segment { entries }));
        (parts, total)
    }

    /// Returns the room for entries in a segment, beside the braces and the field name.
    fn segment_room(&self) -> u64 {
        let empty = Segment {
            entries: Vec::new(),
        };
        self.limits.value.get().saturating_sub(json_size(&empty))
    }

    /// Returns how many pending entries from `start` on fit in `room`, and their size.
    fn fitting(&self, start: usize, room: u64) -> (usize, u64) {
        let mut used = 0;
        let mut count = 0;
        for (_, bytes) in self.pending.iter().skip(start) {
            if used + bytes > room {
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

    /// Builds the next head from the staged values and as many pending entries as the tail takes.
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
        let room = self.limits.tail.get().saturating_sub(tail_bytes);
        let (in_tail, bytes) = self.fitting(in_segment, room);
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

    /// Takes the proposed head as the durable one.
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
        events.extend(self.checks.confirm());
        if self.snapshot_due() && !self.snapshot_wanted {
            events.push(JournalEvent::SnapshotNeeded);
        }
        events
    }

    /// Waits until the segments are as large as the last snapshot, so that snapshots at most double what is written.
    fn snapshot_due(&self) -> bool {
        let segments = self.head.segments.len();
        let worthwhile = self.segment_bytes >= self.snapshot_bytes;
        segments >= self.limits.max_segments() || segments >= self.limits.segments && worthwhile
    }
}
