use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{Backlog, QueueLoad};
use lagoon_jobs::id::{JobId, QueueName};
use lagoon_jobs::job::JobState;
use lagoon_wire::v1::{GetBacklogRequest, GetJobStateRequest, NotifyJobRequest};

use crate::cell::OwnerEntry;
use crate::context::Context;
use crate::owner::ShardHandle;

/// Time for the owner's answer; the slowest link takes 40 ms there and back.
const OWNER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for the owner's answer about a job, for whose final state it waits up to 400 ms.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age up to which a backlog is told without asking again; callers may be told one that is 2 s old.
const MAX_BACKLOG_AGE: Millis = Millis::new(400);

/// What the owner says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnerResponse {
    /// It knows the job.
    Known(JobState),
    /// It does not know the job, which may have been stored a moment ago.
    Unknown,
    /// There is no owner or it does not answer.
    NoAnswer,
}

/// Asks the owner, wherever it is.
#[derive(Debug)]
pub(super) struct OwnerClient {
    cx: Context,
    shard_handle: ShardHandle,
    backlog: Mutex<Option<(Arc<Backlog>, Timestamp)>>,
}

impl OwnerClient {
    pub(super) fn new(cx: Context, shard_handle: ShardHandle) -> Self {
        Self {
            cx,
            shard_handle,
            backlog: Mutex::default(),
        }
    }

    pub(super) async fn state(&self, id: JobId) -> OwnerResponse {
        if let Some(shard) = self.shard_handle.shard() {
            return match shard.job_state(id).await {
                Some(state) => OwnerResponse::Known(state),
                None => OwnerResponse::Unknown,
            };
        }
        let Some(owner) = self.remote_owner() else {
            return OwnerResponse::NoAnswer;
        };
        let req = GetJobStateRequest {
            job: id.to_string(),
        };
        let mut client = self.cx.peers.client(owner.address);
        match tokio::time::timeout(STATE_TIMEOUT, client.get_job_state(req)).await {
            Ok(Ok(answer)) => {
                let answer = answer.into_inner();
                match (answer.is_owner, answer.state.map(|state| state.parse())) {
                    (true, Some(Ok(state))) => OwnerResponse::Known(state),
                    (true, None) => OwnerResponse::Unknown,
                    (_, Some(Err(e))) => {
                        tracing::error!(job = %id, "desk: the owner's answer is not readable: {e}");
                        OwnerResponse::NoAnswer
                    }
                    (false, _) => OwnerResponse::NoAnswer,
                }
            }
            Ok(Err(e)) => {
                tracing::warn!(job = %id, owner = %owner.member, "desk: the owner can't be asked: {e}");
                OwnerResponse::NoAnswer
            }
            Err(_) => {
                tracing::warn!(job = %id, owner = %owner.member, "desk: the owner did not answer in time");
                OwnerResponse::NoAnswer
            }
        }
    }

    /// Tells the owner of a job that was stored a moment ago. Without an answer the store's watch tells it later.
    pub(super) fn notify(&self, id: JobId, record: Vec<u8>) {
        if self.shard_handle.shard().is_some() {
            self.shard_handle.notify(id, &record, self.cx.clock.now());
            return;
        }
        let Some(owner) = self.remote_owner() else {
            return;
        };
        let mut client = self.cx.peers.client(owner.address);
        let job = id.to_string();
        tokio::spawn(async move {
            let call = client.notify_job(NotifyJobRequest { job, record });
            match tokio::time::timeout(OWNER_TIMEOUT, call).await {
                Ok(Ok(_)) => {}
                Ok(Err(e)) => tracing::debug!(job = %id, "desk: the owner was not told: {e}"),
                Err(_) => tracing::debug!(job = %id, "desk: the owner was not told in time"),
            }
        });
    }

    /// Returns the backlog, asked for at most a moment ago.
    pub(super) async fn backlog(&self) -> Option<Arc<Backlog>> {
        if let Some(shard) = self.shard_handle.shard() {
            return Some(Arc::new(shard.with(|dispatcher| dispatcher.backlog())));
        }
        let now = self.cx.clock.now();
        if let Some((backlog, at)) = self.cached_backlog()
            && now.since(at) < MAX_BACKLOG_AGE
        {
            return Some(backlog);
        }
        let backlog = Arc::new(self.fetch_backlog().await?);
        let mut cached = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        *cached = Some((backlog.clone(), now));
        Some(backlog)
    }

    /// Returns the owner if it is another member.
    fn remote_owner(&self) -> Option<OwnerEntry> {
        let owner = self.cx.current_cell().owner.clone();
        owner.filter(|owner| owner.member != *self.cx.member())
    }

    fn cached_backlog(&self) -> Option<(Arc<Backlog>, Timestamp)> {
        let cached = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        cached.clone()
    }

    async fn fetch_backlog(&self) -> Option<Backlog> {
        let owner = self.remote_owner()?;
        let mut client = self.cx.peers.client(owner.address);
        let call = client.get_backlog(GetBacklogRequest {});
        let answer = match tokio::time::timeout(OWNER_TIMEOUT, call).await {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(e)) => {
                tracing::warn!(owner = %owner.member, "desk: the owner can't be asked: {e}");
                return None;
            }
            Err(_) => {
                tracing::warn!(owner = %owner.member, "desk: the owner did not answer in time");
                return None;
            }
        };
        let queues: BTreeMap<QueueName, QueueLoad> = answer
            .queues
            .into_iter()
            .filter_map(|queue| {
                let load = QueueLoad {
                    waiting: queue.waiting,
                    wait: Millis::new(queue.wait_ms),
                };
                Some((queue.queue.parse().ok()?, load))
            })
            .collect();
        answer.is_owner.then_some(Backlog { queues })
    }
}
