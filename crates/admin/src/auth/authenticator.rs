use axum::http::{HeaderMap, header};
use lagoon_core::id::CallerId;
use lagoon_core::{Refusal, ResultCode};

use crate::settings::OperatorSettings;

const BEARER_PREFIX: &[u8] = b"Bearer ";

/// Authenticates operators by their bearer tokens.
#[derive(Debug)]
pub(crate) struct Authenticator(Vec<OperatorSettings>);

impl Authenticator {
    pub(crate) fn new(operators: Vec<OperatorSettings>) -> Self {
        Self(operators)
    }

    /// Returns the operator whose token the request carries. Compares every token, so that the response time does not
    /// reveal which one matched.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<CallerId, Refusal> {
        let token = headers.get(header::AUTHORIZATION);
        let token = token.and_then(|value| value.as_bytes().strip_prefix(BEARER_PREFIX));
        let token = token.unwrap_or_default();
        let mut found = None;
        for operator in &self.0 {
            if operator.token.matches(token) {
                found = Some(operator.operator.clone());
            }
        }
        let message = "missing or invalid operator bearer token";
        found.ok_or_else(|| Refusal::new(ResultCode::Unauthorized, message))
    }
}
