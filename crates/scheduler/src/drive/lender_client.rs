//! Calls to the lenders of capacity for gang tasks.

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

/// Time after which an uncommitted reservation expires; covers the other reservations and the journal commit.
const RESERVATION_TTL: Millis = Millis::new(10_000);
/// Longest wait for the response of a lender.
const RESPONSE_TIMEOUT: Millis = Millis::new(1_000);

/// A reservation at a lender.
#[derive(Debug)]
pub(super) struct RemoteReservation {
    pub(super) lender: ShardId,
    pub(super) address: String,
    pub(super) id: ReservationId,
    pub(super) workers: Vec<WorkerId>,
}

/// Calls lenders on behalf of a borrowing shard.
#[derive(Debug)]
pub(super) struct LenderClient {
    pub(super) borrower: ShardId,
    pub(super) epoch: Epoch,
}

impl LenderClient {
    /// Reserves capacity for up to `count` tasks.
    pub(super) async fn reserve(
        &self,
        lender: &ShardId,
        address: &str,
        work: &WorkId,
        plan: &BorrowPlan,
        count: u32,
    ) -> Result<RemoteReservation, BoxError> {
        let req = v1::ReserveRequest {
            lender: lender.to_string(),
            borrower: self.borrower.to_string(),
            borrower_epoch: self.epoch.get(),
            work: work.to_string(),
            members: count,
            resources: Some(resources_to_wire(&plan.spec.resources)),
            placement: Some(placement_to_wire(&plan.spec.placement)),
            ttl_ms: RESERVATION_TTL.get(),
            all: false,
        };
        let response = connect(address)?.reserve(req).await?.into_inner();
        if let Some(refusal) = &response.refusal {
            return Err(Box::new(refusal_from_wire(refusal)));
        }
        let workers = response.workers.iter();
        let workers = workers.map(|worker| parse_field("workers", worker));
        Ok(RemoteReservation {
            lender: lender.clone(),
            address: address.to_owned(),
            id: parse_field("reservation", &response.reservation)?,
            workers: workers.collect::<Result<_, _>>()?,
        })
    }

    /// Commits a reservation, so that the lender starts the tasks.
    pub(super) async fn commit(
        &self,
        reservation: &RemoteReservation,
        tasks: &[TaskId],
        spec: &WorkSpec,
    ) -> Result<(), BoxError> {
        let req = v1::CommitReservationRequest {
            lender: reservation.lender.to_string(),
            borrower: self.borrower.to_string(),
            borrower_epoch: self.epoch.get(),
            reservation: reservation.id.to_string(),
            spec: Some(spec_to_wire(spec)),
            tasks: tasks.iter().map(ToString::to_string).collect(),
        };
        let response = connect(&reservation.address)?
            .commit_reservation(req)
            .await?;
        match response.into_inner().refusal {
            Some(refusal) => Err(Box::new(refusal_from_wire(&refusal))),
            None => Ok(()),
        }
    }

    /// Releases a reservation. If the call fails, the reservation expires.
    pub(super) async fn release(&self, reservation: &RemoteReservation) {
        let req = v1::ReleaseReservationRequest {
            lender: reservation.lender.to_string(),
            borrower: self.borrower.to_string(),
            borrower_epoch: self.epoch.get(),
            reservation: reservation.id.to_string(),
        };
        let released = async {
            Ok::<_, BoxError>(
                connect(&reservation.address)?
                    .release_reservation(req)
                    .await?,
            )
        };
        if let Err(e) = released.await {
            tracing::debug!(
                "shard: release of {} at {} failed, the reservation will expire: {e}",
                reservation.id,
                reservation.lender
            );
        }
    }
}

fn connect(address: &str) -> Result<PeerClient<Channel>, BoxError> {
    let limit = RESPONSE_TIMEOUT.to_duration();
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    let endpoint = endpoint.connect_timeout(limit).timeout(limit);
    Ok(PeerClient::new(endpoint.connect_lazy()))
}
