//! Calls from borrowing shards.

use lagoon_core::id::{Epoch, WorkerId};
use lagoon_core::shard::{Borrower, ReservationId};
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::{parse_field, placement_from_wire, resources_from_wire, spec_from_wire};
use lagoon_wire::v1;

use crate::service::Node;

pub(super) fn reserve(
    node: &Node,
    req: &v1::ReserveRequest,
) -> Result<(ReservationId, Vec<WorkerId>), Refusal> {
    let borrower = borrower(&req.borrower, req.borrower_epoch)?;
    let need = resources_from_wire(required("resources", req.resources.as_ref())?);
    let placement = placement_from_wire(required("placement", req.placement.as_ref())?)?;
    let ttl = Millis::new(req.ttl_ms);
    let now = node.cx.clock.now();
    let reserved = node.cell(&req.lender)?.with(|shard| {
        let (id, workers) = shard.reserve(borrower, req.members, need, &placement, ttl, now)?;
        if req.all && workers.len() != req.members as usize {
            let text = format!("{} of {} tasks fit", workers.len(), req.members);
            let borrower = self::borrower(&req.borrower, req.borrower_epoch)?;
            shard.release_reservation(id, &borrower, now)?;
            return Err(Refusal::new(ResultCode::ReservationRefused, text));
        }
        Ok((id, workers.into_vec()))
    });
    reserved.flatten()
}

pub(super) fn commit(node: &Node, req: &v1::CommitReservationRequest) -> Result<(), Refusal> {
    let borrower = borrower(&req.borrower, req.borrower_epoch)?;
    let id = parse_field("reservation", &req.reservation)?;
    let spec = spec_from_wire(required("spec", req.spec.as_ref())?)?;
    let tasks = req.tasks.iter().map(|task| parse_field("tasks", task));
    let tasks = tasks.collect::<Result<_, _>>()?;
    let cell = node.cell(&req.lender)?;
    cell.with(|shard| shard.commit_reservation(id, &borrower, tasks, spec))
        .flatten()
}

pub(super) fn release(node: &Node, req: &v1::ReleaseReservationRequest) -> Result<(), Refusal> {
    let borrower = borrower(&req.borrower, req.borrower_epoch)?;
    let id = parse_field("reservation", &req.reservation)?;
    let now = node.cx.clock.now();
    let cell = node.cell(&req.lender)?;
    cell.with(|shard| shard.release_reservation(id, &borrower, now))
        .flatten()
}

fn borrower(shard: &str, epoch: u64) -> Result<Borrower, Refusal> {
    Ok(Borrower {
        shard: parse_field("borrower", shard)?,
        epoch: Epoch::new(epoch),
    })
}

fn required<'a, T>(name: &str, part: Option<&'a T>) -> Result<&'a T, Refusal> {
    part.ok_or_else(|| Refusal::new(ResultCode::Malformed, format!("{name} is missing")))
}
