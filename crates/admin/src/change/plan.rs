use crate::change::{Confirmation, Effect, Unit};
use crate::util::{Missing, Versions};

/// What a command would do now.
#[derive(Debug)]
pub(super) struct Plan {
    /// Canonical text of the command.
    pub(super) text: String,
    pub(super) unit: Unit,
    /// Ids of everything that it touches.
    pub(super) touched: Vec<String>,
    /// Details of the first touched things for the preview; not part of the confirmation.
    pub(super) examples: Vec<String>,
    /// What stops, in one sentence.
    pub(super) stops: String,
    pub(super) versions: Versions,
    /// Command that reverses it, where there is one.
    pub(super) undo: Option<String>,
    /// Who did not answer, so that the plan may lack a part.
    pub(super) missing: Vec<Missing>,
    pub(super) effect: Effect,
}

impl Plan {
    pub(super) fn confirmation(&self) -> Confirmation {
        Confirmation::new(&self.text, &self.touched, &self.versions)
    }

    pub(super) fn count(&self) -> u64 {
        self.touched.len() as u64
    }

    /// Returns the count with the name of what is counted.
    pub(super) fn counted(&self) -> String {
        self.unit.count(self.count())
    }

    /// Returns the preview in one line, for the audit trail.
    pub(super) fn summary(&self) -> String {
        let count = self.counted();
        match self.missing.len() {
            0 => format!("{count}; {}", self.stops),
            missing => format!("{count}; {}; {missing} missing", self.stops),
        }
    }
}
