use lagoon_core::unit::Timestamp;

use crate::advice::{AdviceResponse, Grant};
use crate::dispatch::{AdviceRequest, Dispatcher, Serving};
use crate::fleet::ExecutorSlot;

impl Dispatcher<Serving> {
    /// Takes in the answer of the adviser; `None` if there was none.
    pub fn advice_received(
        &mut self,
        order: &AdviceRequest,
        answer: Option<&AdviceResponse>,
        now: Timestamp,
    ) {
        let core = &mut self.core;
        let named: Vec<ExecutorSlot> = order.named.iter().map(|(slot, _)| *slot).collect();
        let grants = answer.map(|answer| {
            let good = answer.good.iter().filter_map(|(id, ticket)| {
                let slot = core.fleet.slot(id)?;
                Some(Grant {
                    slot,
                    incarnation: core.fleet.get(slot).incarnation,
                    ticket: ticket.clone(),
                    valid_until: now.after(answer.valid),
                })
            });
            good.collect::<Vec<Grant>>()
        });
        tracing::info!(
            step = %order.step, member = %order.member, named = named.len(),
            good = grants.as_ref().map(Vec::len), "dispatch: advice arrived"
        );
        let job = core.jobs.get(order.step.job());
        let queue = job.map(|job| job.record().queue().clone());
        let took = answer.map(|_| now.since(order.asked));
        core.advice.release(&order.member, order.cost, took, now);
        core.advice
            .answer(order.step, queue.as_ref(), &named, grants, now);
    }
}
