use std::sync::Arc;

use axum::http::{HeaderMap, header};
use lagoon_core::id::TeamId;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::Token;

use crate::access::Caller;
use crate::settings::TokenSettings;

const BEARER_PREFIX: &[u8] = b"Bearer ";

/// Tokens that the gateway accepts; none means that requests need no token.
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

    /// Finds the caller. Every token is compared, so that the time doesn't tell which one matched.
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
            let message = "a known bearer token is needed";
            Refusal::new(ResultCode::Unauthorized, message)
        };
        caller.ok_or_else(unauthorized)
    }
}
