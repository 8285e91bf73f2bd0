use lagoon_core::work::Outcome;
use lagoon_core::{Refusal, ResultCode};

use crate::convert::{refusal_from_wire, refusal_to_wire};
use crate::v1;
use crate::v1::outcome::Kind;

/// Converts to the message.
pub fn outcome_to_wire(outcome: &Outcome) -> v1::Outcome {
    let kind = match outcome {
        Outcome::Succeeded(answer) => Kind::Succeeded(answer.clone()),
        Outcome::Failed(error) => Kind::Failed(error.clone()),
        Outcome::Refused(refusal) => Kind::Refused(refusal_to_wire(refusal)),
    };
    v1::Outcome { kind: Some(kind) }
}

/// Converts from the message. An empty message says nothing about the work, so it becomes "not known".
pub fn outcome_from_wire(message: &v1::Outcome) -> Outcome {
    match &message.kind {
        Some(Kind::Succeeded(answer)) => Outcome::Succeeded(answer.clone()),
        Some(Kind::Failed(error)) => Outcome::Failed(error.clone()),
        Some(Kind::Refused(refusal)) => Outcome::Refused(refusal_from_wire(refusal)),
        None => Outcome::Refused(Refusal::new(ResultCode::AnswerLost, "the answer was empty")),
    }
}
