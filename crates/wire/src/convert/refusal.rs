use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};

use crate::v1;

/// Converts a refusal to its message, without the address of an owner.
pub fn refusal_to_wire(refusal: &Refusal) -> v1::Refusal {
    v1::Refusal {
        code: refusal.code.number().into(),
        message: refusal.message.clone(),
        retry_after_ms: refusal.retry_after.map(Millis::get),
        owner_address: String::new(),
    }
}

/// Converts a refusal from its message. A code that this version doesn't know doesn't tell whether the work ran, so it
/// becomes a code of class `not_known`.
pub fn refusal_from_wire(message: &v1::Refusal) -> Refusal {
    let number = u16::try_from(message.code).ok();
    let known = number.and_then(|number| ResultCode::try_from(number).ok());
    Refusal {
        code: known.unwrap_or(ResultCode::AnswerLost),
        message: message.message.clone(),
        retry_after: message.retry_after_ms.map(Millis::new),
    }
}
