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

/// Time-out for a call to the owner. The slowest link has a round trip of 40 ms.
const OWNER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time-out for a request for a job's state; the owner waits up to 400 ms for the final one.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age up to which a cached backlog is used; callers accept one that is up to 2 s old.
const MAX_BACKLOG_AGE: Millis = Millis::new(400);

/// Response of the owner to a request for a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnerResponse {
    /// The owner knows the job.
    Known(JobState),
    /// The owner does not know the job, which may have been stored just now.
    Unknown,
    /// There is no owner, or it did not answer.
    NoAnswer,
}

/// Client of the owner, which may be this member or another one.
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
            Ok(Ok(response)) => {
                let response = response.into_inner();
                match (response.is_owner, response.state.map(|state| state.parse())) {
                    (true, Some(Ok(state))) => OwnerResponse::Known(state),
                    (true, None) => OwnerResponse::Unknown,
                    (_, Some(Err(e))) => {
                        tracing::error!(job = %id, "api: job state in the owner's response is not valid: {e}");
                        OwnerResponse::NoAnswer
                    }
                    (false, _) => OwnerResponse::NoAnswer,
                }
            }
            Ok(Err(e)) => {
                tracing::warn!(job = %id, owner = %owner.member, "api: request for the job's state failed, reading it from the store: {e}");
                OwnerResponse::NoAnswer
            }
            Err(_) => {
                tracing::warn!(job = %id, owner = %owner.member, "api: request for the job's state timed out, reading it from the store");
                OwnerResponse::NoAnswer
            }
        }
    }

    /// Notifies the owner of a newly stored job. If the call fails, the owner's watch of the store reports the job later.
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
                Ok(Err(e)) => tracing::debug!(job = %id, "api: owner not notified of the job: {e}"),
                Err(_) => tracing::debug!(job = %id, "api: notification of the owner timed out"),
            }
        });
    }

    /// Returns the backlog, at most [`MAX_BACKLOG_AGE`] old; `None` if the owner does not answer.
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
        let response = match tokio::time::timeout(OWNER_TIMEOUT, call).await {
            Ok(Ok(response)) => response.into_inner(),
            Ok(Err(e)) => {
                tracing::warn!(owner = %owner.member, "api: request for the backlog failed: {e}");
                return None;
            }
            Err(_) => {
                tracing::warn!(owner = %owner.member, "api: request for the backlog timed out");
                return None;
            }
        };
        let queues: BTreeMap<QueueName, QueueLoad> = response
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
        response.is_owner.then_some(Backlog { queues })
    }
}
