use std::sync::Arc;

use lagoon_core::journal::StoreVersion;
use lagoon_core::shard::HandOverSnapshot;
use lagoon_core::{Refusal, ResultCode};
use lagoon_wire::convert::{parse_field, refusal_to_wire};
use lagoon_wire::v1;
use lagoon_wire::v1::peer_server::Peer;
use tonic::{Request, Response, Status};

use crate::cell::PlacedBy;
use crate::drive::{self, HandOverOffer};
use crate::service::{Node, lending};

type RpcResult<T> = Result<Response<T>, Status>;

/// Serves calls from peers.
#[derive(Debug)]
pub(crate) struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn take_over(&self, req: v1::HandOverRequest) -> Result<(), Refusal> {
        let cell = self.node.cell(&req.shard)?.clone();
        let offer = offer_from_wire(&req)?;
        let taken_over = tokio::spawn(drive::take_over(cell, offer)).await;
        taken_over.unwrap_or_else(|e| Err(Refusal::new(ResultCode::NotServing, e.to_string())))
    }

    /// Returns the refusal of a call that this version does not support.
    fn unsupported(&self, call: &str) -> Option<v1::Refusal> {
        let text = format!("{} does not support {call}", self.node.cx.settings.process);
        Some(refusal_to_wire(&Refusal::new(
            ResultCode::ReservationRefused,
            text,
        )))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        req: Request<v1::HeartbeatRequest>,
    ) -> RpcResult<v1::HeartbeatResponse> {
        let req = req.into_inner();
        let cx = &self.node.cx;
        let now = cx.clock.now();
        if let Some(sender) = &req.sender {
            cx.members.on_heartbeat(sender, now);
            self.node.check_claims(sender);
        }
        Ok(Response::new(v1::HeartbeatResponse {
            receiver: Some(self.node.own_member()),
            members: cx.members.alive(now),
        }))
    }

    async fn get_policy(
        &self,
        req: Request<v1::GetPolicyRequest>,
    ) -> RpcResult<v1::GetPolicyResponse> {
        let known = req.into_inner().known_version;
        let newer = self
            .node
            .cx
            .policy
            .get()
            .filter(|policy| policy.version.get() > known);
        let document = newer
            .as_ref()
            .map(|policy| serde_json::to_string(policy.as_ref()));
        let document = document
            .transpose()
            .map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(v1::GetPolicyResponse {
            version: newer.map(|policy| policy.version.get()).unwrap_or_default(),
            document: document.unwrap_or_default(),
        }))
    }

    async fn reserve(&self, req: Request<v1::ReserveRequest>) -> RpcResult<v1::ReserveResponse> {
        let response = match lending::reserve(&self.node, &req.into_inner()) {
            Ok((reservation, workers)) => v1::ReserveResponse {
                reservation: reservation.to_string(),
                workers: workers.iter().map(ToString::to_string).collect(),
                refusal: None,
            },
            Err(refusal) => v1::ReserveResponse {
                refusal: Some(refusal_to_wire(&refusal)),
                ..Default::default()
            },
        };
        Ok(Response::new(response))
    }

    async fn commit_reservation(
        &self,
        req: Request<v1::CommitReservationRequest>,
    ) -> RpcResult<v1::CommitReservationResponse> {
        let refusal = lending::commit(&self.node, &req.into_inner()).err();
        let refusal = refusal.map(|refusal| refusal_to_wire(&refusal));
        Ok(Response::new(v1::CommitReservationResponse { refusal }))
    }

    async fn release_reservation(
        &self,
        req: Request<v1::ReleaseReservationRequest>,
    ) -> RpcResult<v1::ReleaseReservationResponse> {
        let refusal = lending::release(&self.node, &req.into_inner()).err();
        let refusal = refusal.map(|refusal| refusal_to_wire(&refusal));
        Ok(Response::new(v1::ReleaseReservationResponse { refusal }))
    }

    async fn delegate(&self, _: Request<v1::DelegateRequest>) -> RpcResult<v1::DelegateResponse> {
        let refusal = self.unsupported("delegation");
        Ok(Response::new(v1::DelegateResponse {
            accepted: false,
            refusal,
        }))
    }

    async fn delegate_outcome(
        &self,
        _: Request<v1::DelegateOutcomeRequest>,
    ) -> RpcResult<v1::DelegateOutcomeResponse> {
        let refusal = self.unsupported("delegation");
        Ok(Response::new(v1::DelegateOutcomeResponse {
            refusal,
            ..Default::default()
        }))
    }

    async fn hand_over(
        &self,
        req: Request<v1::HandOverRequest>,
    ) -> RpcResult<v1::HandOverResponse> {
        let req = req.into_inner();
        let refusal = match self.take_over(req).await {
            Ok(()) => None,
            Err(refusal) => Some(refusal_to_wire(&refusal)),
        };
        Ok(Response::new(v1::HandOverResponse { refusal }))
    }
}

fn offer_from_wire(req: &v1::HandOverRequest) -> Result<HandOverOffer, Refusal> {
    let tickets = serde_json::from_slice(&req.tickets)
        .map_err(|e| Refusal::new(ResultCode::Malformed, format!("tickets: {e}")))?;
    let unsent = req.unsent.iter().map(|work| parse_field("unsent", work));
    Ok(HandOverOffer {
        snapshot: HandOverSnapshot {
            head: StoreVersion::new(req.head_version),
            tickets,
            unsent: unsent.collect::<Result<_, _>>()?,
        },
        placed_by: match req.by_operator {
            true => PlacedBy::Operator,
            false => PlacedBy::Election,
        },
    })
}
