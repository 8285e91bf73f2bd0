use lagoon_core::Refusal;
use lagoon_core::id::ServiceName;
use serde::Deserialize;

use crate::api::parse::ensure;

const MAX_TICKETS: u32 = 1_000;

/// Body of `POST /v1/tickets`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TicketBody {
    /// Only parsed, to validate it: a ticket is good for any service.
    #[serde(rename = "service")]
    pub(crate) _service: ServiceName,
    pub(crate) count: u32,
}

impl TicketBody {
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        let in_range = (1..=MAX_TICKETS).contains(&self.count);
        ensure(in_range, "count: expected a number from 1 to 1000")
    }
}
