use std::sync::Arc;

use lagoon_core::id::TeamId;
use lagoon_core::{Refusal, ResultCode};

/// Sender of a request, with the teams whose work it may access.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// Any sender, because the gateway requires no tokens.
    Unrestricted,
    /// Authenticated caller of these teams.
    Restricted(Arc<[TeamId]>),
}

impl Caller {
    pub(crate) fn can_access(&self, team: &TeamId) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Restricted(teams) => teams.contains(team),
        }
    }

    /// Returns an error if the caller may not access work of `team`.
    pub(crate) fn authorize(&self, team: &TeamId) -> Result<(), Refusal> {
        if self.can_access(team) {
            return Ok(());
        }
        let message = format!("the token does not permit access to work of team {team}");
        Err(Refusal::new(ResultCode::Forbidden, message))
    }

    /// Returns the teams that the caller may access; `None` means all teams.
    pub(crate) fn teams(&self) -> Option<&[TeamId]> {
        match self {
            Self::Unrestricted => None,
            Self::Restricted(teams) => Some(teams),
        }
    }
}
