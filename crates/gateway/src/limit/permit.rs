use std::sync::Arc;

use crate::limit::InFlight;

/// Place of one request under the bound on all requests; its drop frees the place.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(super) in_flight: Arc<InFlight>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_flight.leave();
    }
}
