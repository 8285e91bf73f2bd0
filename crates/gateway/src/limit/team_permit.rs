use std::sync::Arc;

use lagoon_core::id::TeamId;

use crate::limit::InFlightLimiter;

/// Permit for one request under the limit of its team, released on drop.
#[derive(Debug)]
pub(crate) struct TeamPermit {
    pub(super) in_flight: Arc<InFlightLimiter>,
    pub(super) team: TeamId,
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        self.in_flight.release_team(&self.team);
    }
}
