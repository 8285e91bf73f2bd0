use axum::http::{HeaderMap, header};
use lagoon_core::id::CallerId;
use lagoon_core::{Refusal, ResultCode};

use crate::settings::OperatorSettings;

const SCHEME: &[u8] = b"Bearer ";

/// Operators and their tokens.
#[derive(Debug)]
pub(crate) struct Operators(Vec<OperatorSettings>);

impl Operators {
    pub(crate) fn new(operators: Vec<OperatorSettings>) -> Self {
        Self(operators)
    }

    /// Finds the sender. Every token is compared, so that the time doesn't tell which one matched.
    pub(crate) fn identify(&self, headers: &HeaderMap) -> Result<CallerId, Refusal> {
        let sent = headers.get(header::AUTHORIZATION);
        let sent = sent.and_then(|value| value.as_bytes().strip_prefix(SCHEME));
        let sent = sent.unwrap_or_default();
        let mut found = None;
        for operator in &self.0 {
            if operator.token.matches(sent) {
                found = Some(operator.operator.clone());
            }
        }
        let message = "the bearer token of an operator is needed";
        found.ok_or_else(|| Refusal::new(ResultCode::Unauthorized, message))
    }
}
