use std::net::SocketAddr;
use std::time::Duration;

use lagoon_adapter::api::{CancelReply, SubmitReply};
use lagoon_core::unit::Millis;
use lagoon_jobs::id::JobId;
use lagoon_wire::v1::cancel_job_response::Outcome;
use lagoon_wire::v1::{CancelJobRequest, StoreJobRequest};

use crate::context::Context;

/// Time after which a caller is asked to retry when the store can't be reached.
const STORE_RETRY: Millis = Millis::new(1_000);
/// Largest number of members asked to reach the store; a caller waits 3 s in total.
const MAX_PEERS: usize = 2;
/// Time-out for a write through another member. The slowest link has a round trip of 40 ms, and the store takes 1.2 s
/// at most.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Forwards writes to the store through other members, for a node that the store does not answer.
#[derive(Debug)]
pub(super) struct PeerForwarder {
    cx: Context,
}

impl PeerForwarder {
    pub(super) fn new(cx: Context) -> Self {
        Self { cx }
    }

    /// Asks other members to store a job.
    pub(super) async fn store_job(&self, id: JobId, record: &[u8]) -> SubmitReply {
        for address in self.candidates(record.len()) {
            let req = StoreJobRequest {
                job: id.to_string(),
                record: record.to_vec(),
            };
            let mut client = self.cx.peers.client(address);
            match tokio::time::timeout(PEER_TIMEOUT, client.store_job(req)).await {
                Ok(Ok(response)) if response.get_ref().stored => {
                    tracing::info!(job = %id, peer = %address, "api: job stored by another member");
                    return SubmitReply::Accepted;
                }
                Ok(Ok(response)) if response.get_ref().cancelled => {
                    tracing::info!(job = %id, peer = %address, "api: job refused by another member because it was cancelled before");
                    return SubmitReply::Cancelled;
                }
                Ok(Ok(_)) => {
                    tracing::warn!(job = %id, peer = %address, "api: another member could not store the job either");
                }
                Ok(Err(e)) => {
                    tracing::warn!(job = %id, peer = %address, "api: request to store a job failed, the outcome is unknown: {e}");
                    return SubmitReply::Unknown;
                }
                Err(_) => {
                    tracing::warn!(job = %id, peer = %address, "api: request to store a job timed out, the outcome is unknown");
                    return SubmitReply::Unknown;
                }
            }
        }
        SubmitReply::Unavailable {
            retry_after: STORE_RETRY,
        }
    }

    /// Asks other members to record a cancellation. Recording it twice does no harm, so the next member is asked after
    /// any failure.
    pub(super) async fn cancel_job(&self, id: JobId) -> CancelReply {
        for address in self.candidates(0) {
            let req = CancelJobRequest {
                job: id.to_string(),
            };
            let mut client = self.cx.peers.client(address);
            let response = tokio::time::timeout(PEER_TIMEOUT, client.cancel_job(req)).await;
            let outcome = match response {
                Ok(Ok(response)) => response.into_inner().outcome(),
                Ok(Err(e)) => {
                    tracing::warn!(job = %id, peer = %address, "api: request to cancel a job failed: {e}");
                    Outcome::Unknown
                }
                Err(_) => {
                    tracing::warn!(job = %id, peer = %address, "api: request to cancel a job timed out");
                    Outcome::Unknown
                }
            };
            match outcome {
                Outcome::Cancelled => {
                    tracing::info!(job = %id, peer = %address, "api: cancellation recorded by another member");
                    return CancelReply::Cancelled;
                }
                Outcome::Absent => return CancelReply::Absent,
                Outcome::Unknown => {}
            }
        }
        CancelReply::Unknown
    }

    /// Returns the members to ask: the owner, which reaches the store as long as it owns the cell, then another one
    /// that varies from call to call, so that no single member gets all of them.
    fn candidates(&self, spread: usize) -> impl Iterator<Item = SocketAddr> {
        let cell = self.cx.current_cell();
        let own = self.cx.member();
        let owner = cell.owner.as_ref().filter(|owner| owner.member != *own);
        let owner = owner.map(|owner| owner.address);
        let others = cell.members.values().filter(|m| m.member != *own);
        let others: Vec<SocketAddr> = others
            .map(|member| member.address)
            .filter(|address| Some(*address) != owner)
            .collect();
        let first = spread % others.len().max(1);
        let rotated: Vec<SocketAddr> = others[first..]
            .iter()
            .chain(&others[..first])
            .copied()
            .collect();
        owner.into_iter().chain(rotated).take(MAX_PEERS)
    }
}
