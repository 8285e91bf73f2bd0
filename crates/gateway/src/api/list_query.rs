use std::error::Error;

use axum::extract::rejection::QueryRejection;
use lagoon_core::Refusal;
use lagoon_core::id::TeamId;
use serde::Deserialize;

use crate::api::parse::{code_for_data_error, ensure};

const MAX_LIMIT: u32 = 1_000;
const STATES: [&str; 6] = [
    "waiting",
    "held",
    "starting",
    "running",
    "unresolved",
    "ended",
];

/// Query of `GET /v1/jobs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListQuery {
    #[serde(default)]
    pub(crate) team: Option<TeamId>,
    #[serde(default)]
    pub(crate) state: Option<String>,
    #[serde(default = "default_limit")]
    pub(crate) limit: u32,
}

fn default_limit() -> u32 {
    100
}

impl ListQuery {
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        let in_range = (1..=MAX_LIMIT).contains(&self.limit);
        ensure(in_range, "limit: expected a number from 1 to 1000")?;
        let state = self.state.as_deref();
        let is_known = state.is_none_or(|state| STATES.contains(&state));
        ensure(
            is_known,
            "state: expected waiting, held, starting, running, unresolved or ended",
        )
    }

    /// Returns the refusal for a query that doesn't parse.
    pub(crate) fn refusal_for(rejection: &QueryRejection) -> Refusal {
        let cause = rejection.source().map(ToString::to_string);
        let message = cause.unwrap_or_else(|| rejection.to_string());
        Refusal::new(code_for_data_error(&message), message)
    }
}
