use serde::Serialize;

use crate::change::{Confirmation, Plan};
use crate::util::{MissingSource, Versions};

/// JSON response to a preview.
#[derive(Debug, Serialize)]
pub(crate) struct Preview {
    /// Canonical text of the command.
    text: String,
    /// Number of affected items.
    count: u64,
    /// Number and kind of the affected items, such as `3 hosts`.
    touches: String,
    /// Some of the affected items.
    examples: Vec<String>,
    /// Description of the effect on running work.
    stops: String,
    /// Versions that the command is based on.
    versions: Versions,
    /// Command that undoes this one, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    undo: Option<String>,
    /// True if the apply must confirm the count.
    count_required: bool,
    /// Sources that did not respond; the preview may be incomplete.
    missing: Vec<MissingSource>,
    /// Confirmation code for the apply.
    confirmation: Confirmation,
}

impl Preview {
    pub(super) fn new(plan: Plan, count_limit: u64) -> Self {
        Self {
            count: plan.count(),
            touches: plan.count_with_unit(),
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
