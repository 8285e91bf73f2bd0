//! Calls to the lenders of members.

use lagoon_core::id::{Epoch, ShardId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{BorrowPlan, ReservationId};
use lagoon_core::unit::Millis;
use lagoon_core::work::WorkSpec;
use lagoon_wire::convert::{
    parse_field, placement_to_wire, refusal_from_wire, resources_to_wire, spec_to_wire,
};
use lagoon_wire::v1;
use lagoon_wire::v1::peer_client::PeerClient;
use tonic::transport::{Channel, Endpoint};

use crate::util::BoxError;

/// Time for which a lender keeps what is reserved; covers the other reservations and the journal commit.
const RESERVATION_TTL: Millis = Millis::new(10_000);
/// Longest wait for the answer of a lender.
const ANSWER_TIMEOUT: Millis = Millis::new(1_000);

/// A reservation at a lender.
#[derive(Debug)]
pub(super) struct Lent {
    pub(super) lender: ShardId,
    pub(super) address: String,
    pub(super) reservation: ReservationId,
    pub(super) workers: Vec<WorkerId>,
}

/// The shard that borrows.
#[derive(Debug)]
pub(super) struct Lenders {
    pub(super) borrower: ShardId,
    pub(super) epoch: Epoch,
}

impl Lenders {
    /// Reserves up to `members` members.
    pub(super) async fn reserve(
        &self,
        lender: &ShardId,
        address: &str,
        work: &WorkId,
        plan: &BorrowPlan,
        members: u32,
    ) -> Result<Lent, BoxError> {
        let req = v1::ReserveRequest {
            lender: lender.to_string(),
            borrower: self.borrower.to_string(),
            borrower_epoch: self.epoch.get(),
            work: work.to_string(),
            members,
            resources: Some(resources_to_wire(&plan.spec.resources)),
            placement: Some(placement_to_wire(&plan.spec.placement)),
            ttl_ms: RESERVATION_TTL.get(),
            all: false,
        };
        let answer = connect(address)?.reserve(req).await?.into_inner();
        if let Some(refusal) = &answer.refusal {
            return Err(Box::new(refusal_from_wire(refusal)));
        }
        let workers = answer.workers.iter();
        let workers = workers.map(|worker| parse_field("workers", worker));
        Ok(Lent {
            lender: lender.clone(),
            address: address.to_owned(),
            reservation: parse_field("reservation", &answer.reservation)?,
            workers: workers.collect::<Result<_, _>>()?,
        })
    }

    /// Lets a lender start the members.
    pub(super) async fn commit(
        &self,
        lent: &Lent,
        tasks: &[TaskId],
        spec: &WorkSpec,
    ) -> Result<(), BoxError> {
        let req = v1::CommitReservationRequest {
            lender: lent.lender.to_string(),
            borrower: self.borrower.to_string(),
            borrower_epoch: self.epoch.get(),
            reservation: lent.reservation.to_string(),
            spec: Some(spec_to_wire(spec)),
            tasks: tasks.iter().map(ToString::to_string).collect(),
        };
        let answer = connect(&lent.address)?.commit_reservation(req).await?;
        match answer.into_inner().refusal {
            Some(refusal) => Err(Box::new(refusal_from_wire(&refusal))),
            None => Ok(()),
        }
    }

    /// Gives a reservation up. If the call fails, it expires.
    pub(super) async fn release(&self, lent: &Lent) {
        let req = v1::ReleaseReservationRequest {
            lender: lent.lender.to_string(),
            borrower: self.borrower.to_string(),
            borrower_epoch: self.epoch.get(),
            reservation: lent.reservation.to_string(),
        };
        let released =
            async { Ok::<_, BoxError>(connect(&lent.address)?.release_reservation(req).await?) };
        if let Err(e) = released.await {
            tracing::debug!(
                "shard: release of {} at {}: {e}",
                lent.reservation,
                lent.lender
            );
        }
    }
}

fn connect(address: &str) -> Result<PeerClient<Channel>, BoxError> {
    let limit = ANSWER_TIMEOUT.to_duration();
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    let endpoint = endpoint.connect_timeout(limit).timeout(limit);
    Ok(PeerClient::new(endpoint.connect_lazy()))
}
