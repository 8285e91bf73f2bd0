use std::sync::Arc;

use crate::limit::InFlightLimiter;

/// Place of one request under the bound on all requests; its drop frees the place.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(super) in_flight: Arc<InFlightLimiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_flight.release();
    }
}
