use std::sync::Arc;

use lagoon_core::id::TeamId;
use lagoon_core::{Refusal, ResultCode};

/// The sender of a request.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// The gateway asks for no tokens.
    Unrestricted,
    /// A known caller with its teams.
    Restricted(Arc<[TeamId]>),
}

impl Caller {
    pub(crate) fn can_access(&self, team: &TeamId) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Restricted(teams) => teams.contains(team),
        }
    }

    /// Refuses a request that names another team.
    pub(crate) fn authorize(&self, team: &TeamId) -> Result<(), Refusal> {
        if self.can_access(team) {
            return Ok(());
        }
        let message = format!("the token does not permit work of team {team}");
        Err(Refusal::new(ResultCode::Forbidden, message))
    }

    /// Returns the teams that a list covers; `None` is every team.
    pub(crate) fn teams(&self) -> Option<&[TeamId]> {
        match self {
            Self::Unrestricted => None,
            Self::Restricted(teams) => Some(teams),
        }
    }
}
