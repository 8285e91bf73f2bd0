use serde::Serialize;

use crate::change::{Confirmation, Plan};
use crate::util::{Missing, Versions};

/// JSON answer to a preview.
#[derive(Debug, Serialize)]
pub(crate) struct Preview {
    /// Canonical text of the command.
    text: String,
    /// Number of touched things.
    count: u64,
    /// The count and what is counted, such as `3 hosts`.
    touches: String,
    /// Some of the touched things.
    examples: Vec<String>,
    /// What stops.
    stops: String,
    /// Versions that the command is based on.
    versions: Versions,
    /// Command that reverses it.
    #[serde(skip_serializing_if = "Option::is_none")]
    undo: Option<String>,
    /// True if the apply must name the count.
    count_required: bool,
    /// Who did not answer, so that the preview may lack a part.
    missing: Vec<Missing>,
    /// Code for the apply.
    confirmation: Confirmation,
}

impl Preview {
    pub(super) fn new(plan: Plan, count_limit: u64) -> Self {
        Self {
            count: plan.count(),
            touches: plan.counted(),
            count_required: plan.count() > count_limit,
            confirmation: plan.confirmation(),
            text: plan.text,
            examples: plan.examples,
            stops: plan.stops,
            versions: plan.versions,
            undo: plan.undo,
            missing: plan.missing,
        }
    }
}
