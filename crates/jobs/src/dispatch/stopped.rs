use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Serving, StopRequest};
use crate::run::RunPhase;

impl Dispatcher<Serving> {
    /// Records that an executor has confirmed a stop: the run ends there, or never starts.
    pub fn stop_confirmed(&mut self, req: &StopRequest, now: Timestamp) {
        let runs = &mut self.core.runs;
        if let Some(run) = runs.matching(req.task, req.number, req.slot)
            && let RunPhase::Stopping { confirmed } = &mut run.phase
        {
            confirmed.get_or_insert(now);
        }
    }
}
