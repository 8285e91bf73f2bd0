use std::sync::Arc;

use crate::limit::InFlightLimiter;

/// Permit for one request under the total limit, released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(super) in_flight: Arc<InFlightLimiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_flight.release();
    }
}
