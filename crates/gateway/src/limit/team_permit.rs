use std::sync::Arc;

use lagoon_core::id::TeamId;

use crate::limit::InFlightLimiter;

/// Place of one request under the bound of its team; its drop frees the place.
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
