//! Withdrawal of entries before they are written.

use crate::journal::group_commit::entry_bytes;
use crate::journal::journal_core::Journal;
use crate::journal::{JournalEntry, Position};

impl Journal {
    /// Withdraws an entry that was not sent to the store yet. Returns false if the entry is durable or may become so.
    pub fn withdraw(&mut self, position: Position) -> bool {
        if position <= self.possibly_written_up_to() {
            return false;
        }
        let index = (position.get() - self.committed - 1) as usize;
        let staged = self.staged.as_ref().map_or(0, |staged| staged.entries);
        let Some((entry, bytes)) = self.pending.get_mut(index).filter(|_| index >= staged) else {
            return false;
        };
        *entry = JournalEntry::Withdrawn;
        let smaller = entry_bytes(entry);
        self.pending_bytes -= *bytes - smaller;
        *bytes = smaller;
        true
    }
}
