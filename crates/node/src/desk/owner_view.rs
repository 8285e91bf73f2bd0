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
use crate::owner::Office;

/// Time for the owner's answer; the slowest link takes 40 ms there and back.
const OWNER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for the owner's answer about a job, for whose final state it waits up to 400 ms.
const STATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age up to which a backlog is told without asking again; callers may be told one that is 2 s old.
const BACKLOG_AGE: Millis = Millis::new(400);

/// What the owner says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnerAnswer {
    /// It knows the job.
    Known(JobState),
    /// It does not know the job, which may have been stored a moment ago.
    Unknown,
    /// There is no owner or it does not answer.
    NoAnswer,
}

/// Asks the owner, wherever it is.
#[derive(Debug)]
pub(super) struct OwnerView {
    cx: Context,
    office: Office,
    backlog: Mutex<Option<(Arc<Backlog>, Timestamp)>>,
}

impl OwnerView {
    pub(super) fn new(cx: Context, office: Office) -> Self {
        Self {
            cx,
            office,
            backlog: Mutex::default(),
        }
    }

    pub(super) async fn state(&self, id: JobId) -> OwnerAnswer {
        if let Some(shard) = self.office.shard() {
            return match shard.job_state(id).await {
                Some(state) => OwnerAnswer::Known(state),
                None => OwnerAnswer::Unknown,
            };
        }
        let Some(owner) = self.other_owner() else {
            return OwnerAnswer::NoAnswer;
        };
        let req = GetJobStateRequest {
            job: id.to_string(),
        };
        let mut client = self.cx.peers.client(owner.address);
        match tokio::time::timeout(STATE_TIMEOUT, client.get_job_state(req)).await {
            Ok(Ok(answer)) => {
                let answer = answer.into_inner();
                match (answer.is_owner, answer.state.map(|state| state.parse())) {
                    (true, Some(Ok(state))) => OwnerAnswer::Known(state),
                    (true, None) => OwnerAnswer::Unknown,
                    (_, Some(Err(e))) => {
                        tracing::error!(job = %id, "desk: the owner's answer is not readable: {e}");
                        OwnerAnswer::NoAnswer
                    }
                    (false, _) => OwnerAnswer::NoAnswer,
                }
            }
            Ok(Err(e)) => {
                tracing::warn!(job = %id, owner = %owner.member, "desk: the owner can't be asked: {e}");
                OwnerAnswer::NoAnswer
            }
            Err(_) => {
                tracing::warn!(job = %id, owner = %owner.member, "desk: the owner did not answer in time");
                OwnerAnswer::NoAnswer
            }
        }
    }

    /// Tells the owner of a job that was stored a moment ago. Without an answer the store's watch tells it later.
    pub(super) fn notify(&self, id: JobId, record: Vec<u8>) {
        if self.office.shard().is_some() {
            self.office.notify(id, &record, self.cx.clock.now());
            return;
        }
        let Some(owner) = self.other_owner() else {
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
        if let Some(shard) = self.office.shard() {
            return Some(Arc::new(shard.with(|dispatcher| dispatcher.backlog())));
        }
        let now = self.cx.clock.now();
        if let Some((backlog, at)) = self.kept()
            && now.since(at) < BACKLOG_AGE
        {
            return Some(backlog);
        }
        let backlog = Arc::new(self.ask_backlog().await?);
        let mut kept = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some((backlog.clone(), now));
        Some(backlog)
    }

    /// Returns the owner if it is another member.
    fn other_owner(&self) -> Option<OwnerEntry> {
        let owner = self.cx.current_cell().owner.clone();
        owner.filter(|owner| owner.member != *self.cx.member())
    }

    fn kept(&self) -> Option<(Arc<Backlog>, Timestamp)> {
        let kept = self.backlog.lock().unwrap_or_else(PoisonError::into_inner);
        kept.clone()
    }

    async fn ask_backlog(&self) -> Option<Backlog> {
        let owner = self.other_owner()?;
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
