use std::net::SocketAddr;
use std::time::Duration;

use lagoon_adapter::api::{CancelReply, SubmitReply};
use lagoon_core::unit::Millis;
use lagoon_jobs::id::JobId;
use lagoon_wire::v1::cancel_job_response::Outcome;
use lagoon_wire::v1::{CancelJobRequest, StoreJobRequest};

use crate::context::Context;

/// When a caller comes back that was refused because the store can't be reached.
const STORE_RETRY: Millis = Millis::new(1_000);
/// Members asked to reach the store for this one; a caller waits 3 s in all.
const MAX_PEERS: usize = 2;
/// Time for another member to write to the store: the slowest link takes 40 ms there and back, the store 1.2 s at most.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Reaches the store through other members, for a node that the store turns away.
#[derive(Debug)]
pub(super) struct PeerForwarder {
    cx: Context,
}

impl PeerForwarder {
    pub(super) fn new(cx: Context) -> Self {
        Self { cx }
    }

    /// Has another member store a job.
    pub(super) async fn store_job(&self, id: JobId, record: &[u8]) -> SubmitReply {
        for address in self.candidates(record.len()) {
            let req = StoreJobRequest {
                job: id.to_string(),
                record: record.to_vec(),
            };
            let mut client = self.cx.peers.client(address);
            match tokio::time::timeout(PEER_TIMEOUT, client.store_job(req)).await {
                Ok(Ok(answer)) if answer.get_ref().stored => {
                    tracing::info!(job = %id, peer = %address, "desk: job stored by another member");
                    return SubmitReply::Accepted;
                }
                Ok(Ok(_)) => {
                    tracing::warn!(job = %id, peer = %address, "desk: the store turns another member away too");
                }
                Ok(Err(e)) => {
                    tracing::warn!(job = %id, peer = %address, "desk: another member gave no answer: {e}");
                    return SubmitReply::Unknown;
                }
                Err(_) => {
                    tracing::warn!(job = %id, peer = %address, "desk: another member did not answer in time");
                    return SubmitReply::Unknown;
                }
            }
        }
        SubmitReply::Unavailable {
            retry_after: STORE_RETRY,
        }
    }

    /// Has another member record a cancellation. It may be recorded twice, so the next one is asked after any failure.
    pub(super) async fn cancel_job(&self, id: JobId) -> CancelReply {
        for address in self.candidates(0) {
            let req = CancelJobRequest {
                job: id.to_string(),
            };
            let mut client = self.cx.peers.client(address);
            let answer = tokio::time::timeout(PEER_TIMEOUT, client.cancel_job(req)).await;
            let outcome = match answer {
                Ok(Ok(answer)) => answer.into_inner().outcome(),
                Ok(Err(e)) => {
                    tracing::warn!(job = %id, peer = %address, "desk: another member gave no answer: {e}");
                    Outcome::Unknown
                }
                Err(_) => {
                    tracing::warn!(job = %id, peer = %address, "desk: another member did not answer in time");
                    Outcome::Unknown
                }
            };
            match outcome {
                Outcome::Cancelled => {
                    tracing::info!(job = %id, peer = %address, "desk: cancellation recorded by another member");
                    return CancelReply::Cancelled;
                }
                Outcome::Absent => return CancelReply::Absent,
                Outcome::Unknown => {}
            }
        }
        CancelReply::Unknown
    }

    /// Returns the members to ask: the owner, whom the store answers as long as it owns the cell, then another one that
    /// differs from call to call, so that none has to take them all.
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
