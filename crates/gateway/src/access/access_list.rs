use std::sync::Arc;

use axum::http::{HeaderMap, header};
use lagoon_core::id::TeamId;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::Token;

use crate::access::Caller;
use crate::settings::TokenSettings;

const BEARER_PREFIX: &[u8] = b"Bearer ";

/// Tokens that the gateway accepts, with the teams of each. `None` if requests need no token.
#[derive(Debug)]
pub(crate) struct AccessList {
    tokens: Option<Vec<(Token, Arc<[TeamId]>)>>,
}

impl AccessList {
    pub(crate) fn new(settings: Option<&[TokenSettings]>) -> Self {
        let token_entry = |s: &TokenSettings| {
            let mut teams = s.teams.clone();
            teams.sort();
            teams.dedup();
            (s.token.clone(), Arc::from(teams))
        };
        Self {
            tokens: settings.map(|all| all.iter().map(token_entry).collect()),
        }
    }

    /// Returns the caller whose token the request carries. Compares all tokens, so that the response time doesn't
    /// reveal which one matched.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let Some(tokens) = &self.tokens else {
            return Ok(Caller::Unrestricted);
        };
        let presented = headers.get(header::AUTHORIZATION);
        let presented = presented.and_then(|value| value.as_bytes().strip_prefix(BEARER_PREFIX));
        let presented = presented.unwrap_or_default();
        let mut caller = None;
        for (token, teams) in tokens {
            if token.matches(presented) {
                caller = Some(Caller::Restricted(teams.clone()));
            }
        }
        let unauthorized = || {
            let message = "expected a known bearer token in the Authorization header";
            Refusal::new(ResultCode::Unauthorized, message)
        };
        caller.ok_or_else(unauthorized)
    }
}
