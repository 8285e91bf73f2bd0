use lagoon_core::work::WorkState;
use lagoon_core::{Refusal, ResultCode};

use crate::convert::{outcome_from_wire, outcome_to_wire};
use crate::v1;

const ENDED: &str = "ended";

/// Converts a state to its name and outcome in a message.
pub fn state_to_wire(state: &WorkState) -> (String, Option<v1::Outcome>) {
    match state {
        WorkState::Ended(outcome) => (ENDED.to_owned(), Some(outcome_to_wire(outcome))),
        other => (other.as_str().to_owned(), None),
    }
}

/// Converts a state from its name and outcome in a message.
///
/// # Errors
///
/// Returns `invalid_value` for an unknown name, and for the state `ended` without an outcome.
pub fn state_from_wire(name: &str, outcome: Option<&v1::Outcome>) -> Result<WorkState, Refusal> {
    let invalid = |text: String| Refusal::new(ResultCode::InvalidValue, text);
    match (name, outcome) {
        ("waiting", _) => Ok(WorkState::Waiting),
        ("held", _) => Ok(WorkState::Held),
        ("starting", _) => Ok(WorkState::Starting),
        ("running", _) => Ok(WorkState::Running),
        ("unresolved", _) => Ok(WorkState::Unresolved),
        (ENDED, Some(outcome)) => Ok(WorkState::Ended(outcome_from_wire(outcome))),
        (ENDED, None) => Err(invalid("state: ended without an outcome".to_owned())),
        _ => Err(invalid(format!("state: {name:?} is not known"))),
    }
}
