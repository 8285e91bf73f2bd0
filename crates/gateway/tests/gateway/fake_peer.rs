use lagoon_wire::v1;
use lagoon_wire::v1::peer_server::Peer;
use tonic::{Request, Response, Status};

use crate::fake_scheduler::Service;

/// Implements `Peer` with heartbeats; all other calls are unimplemented.
macro_rules! unused_calls {
    ($($name:ident: $req:ident => $resp:ident;)*) => {
        #[tonic::async_trait]
        impl Peer for Service {
            async fn heartbeat(
                &self,
                req: Request<v1::HeartbeatRequest>,
            ) -> Result<Response<v1::HeartbeatResponse>, Status> {
                let mut state = self.state.lock().unwrap();
                state.leaving |= req.into_inner().leaving;
                Ok(Response::new(v1::HeartbeatResponse {
                    receiver: Some(v1::Member {
                        process: self.name.clone(),
                        role: "scheduler".to_owned(),
                        domain: self.domain.clone(),
                        address: self.address.to_string(),
                        policy_version: state.policy,
                        shards: state.claims.clone(),
                        ..Default::default()
                    }),
                    members: Vec::new(),
                }))
            }

            $(
                async fn $name(
                    &self,
                    _: Request<v1::$req>,
                ) -> Result<Response<v1::$resp>, Status> {
                    Err(Status::unimplemented("not used by the gateway"))
                }
            )*
        }
    };
}

unused_calls! {
    get_policy: GetPolicyRequest => GetPolicyResponse;
    reserve: ReserveRequest => ReserveResponse;
    commit_reservation: CommitReservationRequest => CommitReservationResponse;
    release_reservation: ReleaseReservationRequest => ReleaseReservationResponse;
    delegate: DelegateRequest => DelegateResponse;
    delegate_outcome: DelegateOutcomeRequest => DelegateOutcomeResponse;
    hand_over: HandOverRequest => HandOverResponse;
}
