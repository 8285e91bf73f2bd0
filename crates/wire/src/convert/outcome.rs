use lagoon_core::work::Outcome;
use lagoon_core::{Refusal, ResultCode};

use crate::convert::{refusal_from_wire, refusal_to_wire};
use crate::v1;
use crate::v1::outcome::Kind;

/// Converts an outcome to its message.
pub fn outcome_to_wire(outcome: &Outcome) -> v1::Outcome {
    let kind = match outcome {
        Outcome::Succeeded(answer) => Kind::Succeeded(answer.clone()),
        Outcome::Failed(error) => Kind::Failed(error.clone()),
        Outcome::Refused(refusal) => Kind::Refused(refusal_to_wire(refusal)),
    };
    v1::Outcome { kind: Some(kind) }
}

/// Converts an outcome from its message. An empty message doesn't tell whether the work ran, so it becomes a refusal of
/// class `not_known`.
pub fn outcome_from_wire(message: &v1::Outcome) -> Outcome {
    match &message.kind {
        Some(Kind::Succeeded(answer)) => Outcome::Succeeded(answer.clone()),
        Some(Kind::Failed(error)) => Outcome::Failed(error.clone()),
        Some(Kind::Refused(refusal)) => Outcome::Refused(refusal_from_wire(refusal)),
        None => Outcome::Refused(Refusal::new(
            ResultCode::AnswerLost,
            "the outcome in the response was empty",
        )),
    }
}
