use lagoon_core::unit::Timestamp;

use crate::advice::{AdviceResponse, Approval};
use crate::dispatch::{AdviceRequest, Dispatcher, Serving};
use crate::fleet::ExecutorSlot;

impl Dispatcher<Serving> {
    /// Handles the response to a request for advice; `None` if there was none.
    pub fn advice_received(
        &mut self,
        req: &AdviceRequest,
        response: Option<&AdviceResponse>,
        now: Timestamp,
    ) {
        let core = &mut self.core;
        let executors: Vec<ExecutorSlot> = req.executors.iter().map(|(slot, _)| *slot).collect();
        let approvals = response.map(|response| {
            let good = response.good.iter().filter_map(|(id, ticket)| {
                let slot = core.fleet.slot(id)?;
                Some(Approval {
                    slot,
                    incarnation: core.fleet.get(slot).incarnation(),
                    ticket: ticket.clone(),
                    valid_until: now.after(response.valid),
                })
            });
            good.collect::<Vec<Approval>>()
        });
        tracing::info!(
            step = %req.step, member = %req.member, executors = executors.len(),
            approved = approvals.as_ref().map(Vec::len), "dispatch: request for advice ended"
        );
        let job = core.jobs.get(req.step.job());
        let queue = job.map(|job| job.record().queue().clone());
        let took = response.map(|_| now.since(req.requested_at));
        core.advice.end_request(&req.member, req.cost, took, now);
        core.advice
            .record_response(req.step, queue.as_ref(), &executors, approvals, now);
    }
}
