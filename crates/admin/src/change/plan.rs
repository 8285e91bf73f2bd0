use crate::change::{Confirmation, ItemKind, PlannedChange};
use crate::util::{MissingSource, Versions};

/// The effect that a command would have on the current state.
#[derive(Debug)]
pub(super) struct Plan {
    /// Canonical text of the command.
    pub(super) text: String,
    pub(super) item_kind: ItemKind,
    /// Ids of the affected items.
    pub(super) affected: Vec<String>,
    /// Details of the first affected items, for the preview; not part of the confirmation code.
    pub(super) examples: Vec<String>,
    /// Description of the effect on running work.
    pub(super) stops: String,
    pub(super) versions: Versions,
    /// Command that undoes this one, if there is one.
    pub(super) undo: Option<String>,
    /// Sources that did not respond; the plan may be incomplete.
    pub(super) missing: Vec<MissingSource>,
    pub(super) change: PlannedChange,
}

impl Plan {
    pub(super) fn confirmation(&self) -> Confirmation {
        Confirmation::new(&self.text, &self.affected, &self.versions)
    }

    pub(super) fn count(&self) -> u64 {
        self.affected.len() as u64
    }

    /// Returns the number of affected items with their kind, such as `3 hosts`.
    pub(super) fn count_with_unit(&self) -> String {
        self.item_kind.format_count(self.count())
    }

    /// Returns a one-line summary of the preview, for the audit trail.
    pub(super) fn summary(&self) -> String {
        let count = self.count_with_unit();
        match self.missing.len() {
            0 => format!("{count}; {}", self.stops),
            missing => format!("{count}; {}; {missing} missing", self.stops),
        }
    }
}
