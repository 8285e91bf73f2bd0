use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::front::{CancelReply, JobDesk, StateReply, SubmitReply};
use lagoon_adapter::store::Transaction;
use lagoon_core::unit::Millis;
use lagoon_jobs::id::{JobId, QueueName};
use lagoon_jobs::job::{JobRecord, JobState};
use lagoon_jobs::policy::{CellPolicy, Queue};
use lagoon_jobs::spec::JobSpec;
use lagoon_process::Sharded;
use lagoon_wire::v1::StoreJobRequest;

use crate::cell::Keys;
use crate::context::Context;
use crate::desk::owner_view::{OwnerAnswer, OwnerView};
use crate::desk::{Stored, store_job, stored};
use crate::owner::Office;
use crate::policy;

/// When a caller comes back that was refused because the store can't be reached.
const STORE_RETRY: Millis = Millis::new(1_000);
/// Members asked to store a job for this one; a caller waits 3 s in all.
const MAX_PEERS: usize = 2;
/// Time for another member to store a job: the slowest link takes 40 ms there and back, the store 1.2 s at most.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Final states kept in each of the parts of the cache; the owner is asked for others.
const MAX_FINAL: usize = 2_000;

/// Answers callers on this member.
#[derive(Debug)]
pub(crate) struct Desk {
    cx: Context,
    owner: OwnerView,
    finals: Sharded<JobId, JobState>,
}

impl Desk {
    pub(crate) fn new(cx: Context, office: Office) -> Self {
        Self {
            owner: OwnerView::new(cx.clone(), office),
            cx,
            finals: Sharded::new(),
        }
    }

    fn keep_final(&self, id: JobId, state: JobState) {
        if state.is_final() {
            self.finals.with(&id, |kept| {
                if kept.len() >= MAX_FINAL {
                    kept.clear();
                }
                kept.insert(id, state);
            });
        }
    }

    async fn stored_state(&self, id: JobId) -> StateReply {
        match stored::state(&self.cx.store, id).await {
            Ok(Some(state)) => {
                self.keep_final(id, state);
                StateReply::Known(state)
            }
            Ok(None) => StateReply::Absent,
            Err(e) => {
                tracing::warn!(job = %id, "desk: neither owner nor store tells the state: {e}");
                StateReply::Unavailable
            }
        }
    }

    /// Has another member store a job, because the store turns this one away.
    async fn store_through_peers(&self, id: JobId, record: &[u8]) -> SubmitReply {
        let cell = self.cx.current_cell();
        let others = cell
            .members
            .values()
            .filter(|m| m.member != *self.cx.member());
        let addresses: Vec<SocketAddr> = others.map(|member| member.address).collect();
        // Begins at another member for each job, so that none has to take them all.
        let first = record.len() % addresses.len().max(1);
        let order = addresses.iter().cycle().skip(first).take(addresses.len());
        for address in order.take(MAX_PEERS) {
            let req = StoreJobRequest {
                job: id.to_string(),
                record: record.to_vec(),
            };
            let mut client = self.cx.peers.client(*address);
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
}

impl JobDesk for Desk {
    fn policy(&self) -> Option<Arc<CellPolicy>> {
        self.cx.current_policy()
    }

    async fn latest_policy(&self) -> Option<Arc<CellPolicy>> {
        match policy::read_latest(&self.cx).await {
            Ok(policy) => policy,
            Err(e) => {
                tracing::warn!("desk: configuration can't be read: {e}");
                None
            }
        }
    }

    async fn submit(
        &self,
        queue: &Queue,
        id: JobId,
        spec: JobSpec,
        _deadline: Millis,
    ) -> SubmitReply {
        let began = self.cx.clock.now();
        let observe = |outcome| {
            let time = self.cx.clock.now().since(began);
            self.cx.metrics.observe("submit", outcome, time);
        };
        let record = JobRecord::new(queue.name.clone(), self.cx.clock.now(), spec);
        let value = serde_json::to_vec(&record).expect("job records have string keys");
        match store_job(&self.cx.store, id, value.clone()).await {
            Stored::Now(revision) => {
                observe("accepted");
                tracing::info!(job = %id, queue = %queue.name, %revision, "desk: job accepted");
                self.owner.notify(id, value);
                SubmitReply::Accepted
            }
            Stored::Before => {
                observe("repeated");
                tracing::info!(job = %id, queue = %queue.name, "desk: job was accepted before");
                SubmitReply::Accepted
            }
            Stored::Not(e) => {
                tracing::warn!(job = %id, effect = ?e.effect(), "desk: job not confirmed by the store: {e}");
                let reply = self.store_through_peers(id, &value).await;
                observe(match reply {
                    SubmitReply::Accepted => "accepted_by_peer",
                    _ => "not_stored",
                });
                reply
            }
            Stored::Unknown(e) => {
                observe("unconfirmed");
                tracing::warn!(job = %id, effect = ?e.effect(), "desk: job not confirmed by the store: {e}");
                SubmitReply::Unknown
            }
        }
    }

    async fn state(&self, id: JobId) -> StateReply {
        if let Some(state) = self.finals.with(&id, |kept| kept.get(&id).copied()) {
            return StateReply::Known(state);
        }
        match self.owner.state(id).await {
            OwnerAnswer::Known(state) => {
                self.keep_final(id, state);
                StateReply::Known(state)
            }
            OwnerAnswer::Unknown | OwnerAnswer::NoAnswer => self.stored_state(id).await,
        }
    }

    async fn cancel(&self, id: JobId) -> CancelReply {
        match stored::state(&self.cx.store, id).await {
            Ok(Some(state)) if state.is_final() => return CancelReply::Cancelled,
            Ok(Some(_)) => {}
            Ok(None) => return CancelReply::Absent,
            Err(e) => {
                tracing::warn!(job = %id, "desk: job to cancel can't be read: {e}");
                return CancelReply::Unknown;
            }
        }
        let txn = Transaction::new().put(Keys::cancelled(id), b"{}".to_vec());
        match self.cx.store.commit(txn).await {
            Ok(_) => {
                tracing::info!(job = %id, "desk: cancellation recorded");
                CancelReply::Cancelled
            }
            Err(e) => {
                tracing::warn!(job = %id, "desk: cancellation not confirmed: {e}");
                CancelReply::Unknown
            }
        }
    }

    async fn waiting(&self, queue: &QueueName) -> Option<u32> {
        let backlog = self.owner.backlog().await?;
        let load = backlog.queues.get(queue).copied().unwrap_or_default();
        Some(load.waiting)
    }
}
