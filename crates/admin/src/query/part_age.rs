use lagoon_core::unit::{Millis, Timestamp};
use serde::Serialize;

use crate::fleet::Part;

/// A scheduler that contributed to an answer and the age of what it said.
#[derive(Debug, Serialize)]
pub(crate) struct PartAge {
    process: String,
    address: String,
    age_ms: Millis,
}

impl PartAge {
    pub(crate) fn new(process: impl ToString, address: impl ToString, age: Millis) -> Self {
        Self {
            process: process.to_string(),
            address: address.to_string(),
            age_ms: age,
        }
    }

    pub(crate) fn of(part: &Part, now: Timestamp) -> Self {
        Self::new(&part.answer.process, part.address, now.since(part.at))
    }
}
