//! The simulated adviser. Which executors are suitable for a step does not change; a ticket expires after a time and
//! with the executor's incarnation.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::advice::AdviceResponse;
use lagoon_jobs::dispatch::{AdviceRequest, StartRequest};
use lagoon_jobs::id::{AdviceTicket, StepKey};

/// Validity of a ticket.
const VALID: Millis = Millis::new(1_500);

/// Answers a request at `now`. `incarnations` holds the incarnations of the executors by slot.
pub(crate) fn advise(
    request: &AdviceRequest,
    incarnations: &[u64],
    now: Timestamp,
) -> AdviceResponse {
    let good = request.executors.iter().filter_map(|(slot, id)| {
        let is_good = is_good(request.step, slot.index(), incarnations.len());
        is_good.then(|| {
            (
                id.clone(),
                ticket(request.step, slot.index(), incarnations[slot.index()], now),
            )
        })
    });
    AdviceResponse {
        good: good.collect(),
        valid: VALID,
    }
}

/// Returns true if an executor accepts the ticket of a start.
pub(crate) fn accepts(request: &StartRequest, incarnation: u64, now: Timestamp) -> bool {
    let Some(ticket) = &request.ticket else {
        return false;
    };
    let text = ticket.to_string();
    let (subject, issued_at) = text.rsplit_once(' ').expect("a ticket of the simulation");
    let issued_at = Timestamp::from_millis(issued_at.parse().expect("a time"));
    subject == ticket_subject(request.task.step(), request.slot.index(), incarnation)
        && now.since(issued_at) <= VALID
}

/// Returns true if an executor is suitable for a step. About half of them are, and at least two, so that the largest
/// gang fits.
fn is_good(step: StepKey, slot: usize, executors: usize) -> bool {
    let hash = step.to_string().bytes().fold(7_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    let first = hash as usize % executors;
    slot == first || slot == (first + 1) % executors || (hash >> (slot + 4)) & 1 == 1
}

fn ticket(step: StepKey, slot: usize, incarnation: u64, now: Timestamp) -> AdviceTicket {
    let text = format!(
        "{} {}",
        ticket_subject(step, slot, incarnation),
        now.as_millis()
    );
    text.parse().expect("any text is a ticket")
}

fn ticket_subject(step: StepKey, slot: usize, incarnation: u64) -> String {
    format!("{step} {slot} {incarnation}")
}
