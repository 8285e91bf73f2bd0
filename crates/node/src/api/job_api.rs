use std::sync::Arc;

use lagoon_adapter::api::{CancelReply, JobService, PolicyReply, StateReply, SubmitReply};
use lagoon_core::unit::Millis;
use lagoon_jobs::id::{JobId, QueueName};
use lagoon_jobs::job::{JobRecord, JobState};
use lagoon_jobs::policy::{CellPolicy, Queue};
use lagoon_jobs::spec::JobSpec;
use lagoon_process::Sharded;

use crate::api::owner_client::{OwnerClient, OwnerResponse};
use crate::api::peer_forwarder::PeerForwarder;
use crate::api::{StoreOutcome, cancel_job, store_job, stored_state};
use crate::context::Context;
use crate::owner::ShardHandle;
use crate::policy;

/// Largest number of final states in each part of the cache; a full part is cleared, and the owner knows the rest.
const MAX_CACHED_STATES: usize = 2_000;

/// Job service of this member, which answers callers.
#[derive(Debug)]
pub(crate) struct JobApi {
    cx: Context,
    owner: OwnerClient,
    peers: PeerForwarder,
    final_states: Sharded<JobId, JobState>,
}

impl JobApi {
    pub(crate) fn new(cx: Context, shard_handle: ShardHandle) -> Self {
        Self {
            owner: OwnerClient::new(cx.clone(), shard_handle),
            peers: PeerForwarder::new(cx.clone()),
            cx,
            final_states: Sharded::new(),
        }
    }

    fn cache_final(&self, id: JobId, state: JobState) {
        if state.is_final() {
            self.final_states.with(&id, |states| {
                if states.len() >= MAX_CACHED_STATES {
                    states.clear();
                }
                states.insert(id, state);
            });
        }
    }

    async fn stored_state(&self, id: JobId) -> StateReply {
        match stored_state::state(&self.cx.store, id).await {
            Ok(Some(state)) => {
                self.cache_final(id, state);
                StateReply::Known(state)
            }
            Ok(None) => StateReply::Absent,
            Err(e) => {
                tracing::warn!(job = %id, "api: no state of the job from the owner, and the store can't be read: {e}");
                StateReply::Unavailable
            }
        }
    }

    /// Stores a job by a direct call to the store.
    async fn store_locally(
        &self,
        queue: &Queue,
        id: JobId,
        record: JobRecord,
    ) -> LocalStoreOutcome {
        match store_job(&self.cx, id, record).await {
            StoreOutcome::Stored(revision, record) => {
                tracing::info!(job = %id, queue = %queue.name, %revision, "api: job accepted");
                self.owner.notify(id, record);
                LocalStoreOutcome::Stored("accepted")
            }
            StoreOutcome::AlreadyStored => {
                tracing::info!(job = %id, queue = %queue.name, "api: job was already accepted");
                LocalStoreOutcome::Stored("repeated")
            }
            StoreOutcome::Cancelled => {
                tracing::info!(job = %id, queue = %queue.name, "api: job refused because it was cancelled before");
                LocalStoreOutcome::Cancelled
            }
            StoreOutcome::NotStored(e) => {
                tracing::warn!(job = %id, effect = ?e.effect(), "api: job not confirmed by the store: {e}");
                LocalStoreOutcome::NotStored
            }
            StoreOutcome::Contended => {
                tracing::warn!(job = %id, "api: job not stored because the owner changed repeatedly");
                LocalStoreOutcome::NotStored
            }
            StoreOutcome::Unknown(e) => {
                tracing::warn!(job = %id, effect = ?e.effect(), "api: job not confirmed by the store: {e}");
                LocalStoreOutcome::Unknown
            }
        }
    }

    /// Stores a job, directly or through another member. Writes nothing directly while the store does not answer this node,
    /// because the job could be stored without the caller ever being informed.
    async fn store(
        &self,
        queue: &Queue,
        id: JobId,
        record: JobRecord,
    ) -> (SubmitReply, &'static str) {
        if self.cx.has_store() {
            match self.store_locally(queue, id, record.clone()).await {
                LocalStoreOutcome::Stored(label) => return (SubmitReply::Accepted, label),
                LocalStoreOutcome::Cancelled => return (SubmitReply::Cancelled, "cancelled"),
                LocalStoreOutcome::Unknown => return (SubmitReply::Unknown, "unconfirmed"),
                LocalStoreOutcome::NotStored => {}
            }
        }
        let record = serde_json::to_vec(&record).expect("job records have string keys");
        let reply = self.peers.store_job(id, &record).await;
        let label = match &reply {
            SubmitReply::Accepted => "accepted_by_peer",
            SubmitReply::Cancelled => "cancelled",
            SubmitReply::Unknown => "unconfirmed",
            SubmitReply::Unavailable { .. } | SubmitReply::Overloaded { .. } => {
                tracing::info!(job = %id, "api: job refused because no member reached the store");
                "not_stored"
            }
        };
        (reply, label)
    }
}

/// Outcome of a direct attempt to store a job.
enum LocalStoreOutcome {
    /// The job is stored. Contains the label of the outcome in the metrics.
    Stored(&'static str),
    /// The job is not stored and never will be.
    Cancelled,
    /// The job is not stored.
    NotStored,
    /// The job may be stored.
    Unknown,
}

impl JobService for JobApi {
    async fn policy(&self, deadline: Millis) -> PolicyReply {
        policy::read_confirmed(&self.cx, deadline).await
    }

    async fn latest_policy(&self) -> Option<Arc<CellPolicy>> {
        self.cx.policy_read.latest(&self.cx).await
    }

    async fn submit(
        &self,
        queue: &Arc<Queue>,
        id: JobId,
        spec: JobSpec,
        _deadline: Millis,
    ) -> SubmitReply {
        let started_at = self.cx.clock.now();
        let record = JobRecord::accept(queue, started_at, spec);
        let (reply, outcome) = self.store(queue, id, record).await;
        let time = self.cx.clock.now().since(started_at);
        self.cx.metrics.observe("submit", outcome, time);
        reply
    }

    async fn state(&self, id: JobId) -> StateReply {
        if let Some(state) = self
            .final_states
            .with(&id, |states| states.get(&id).copied())
        {
            return StateReply::Known(state);
        }
        match self.owner.state(id).await {
            OwnerResponse::Known(state) => {
                self.cache_final(id, state);
                StateReply::Known(state)
            }
            OwnerResponse::Unknown | OwnerResponse::NoAnswer => self.stored_state(id).await,
        }
    }

    async fn cancel(&self, id: JobId) -> CancelReply {
        if !self.cx.has_store() {
            let reply = self.peers.cancel_job(id).await;
            if !matches!(reply, CancelReply::Unknown) {
                return reply;
            }
        }
        match cancel_job(&self.cx, id).await {
            CancelReply::Unknown => self.peers.cancel_job(id).await,
            reply => reply,
        }
    }

    async fn waiting(&self, queue: &QueueName) -> Option<u32> {
        let backlog = self.owner.backlog().await?;
        let load = backlog.queues.get(queue).copied().unwrap_or_default();
        Some(load.waiting)
    }
}
