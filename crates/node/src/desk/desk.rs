use std::sync::Arc;

use lagoon_adapter::front::{CancelReply, JobDesk, StateReply, SubmitReply};
use lagoon_adapter::store::{Revision, Transaction, TxnOutcome};
use lagoon_core::unit::Millis;
use lagoon_jobs::id::{JobId, QueueName};
use lagoon_jobs::job::{JobRecord, JobState};
use lagoon_jobs::policy::{CellPolicy, Queue};
use lagoon_jobs::spec::JobSpec;
use lagoon_platform::{Effect, PlatformError};
use lagoon_process::Sharded;

use crate::cell::Keys;
use crate::context::Context;
use crate::desk::owner_view::{OwnerAnswer, OwnerView};
use crate::desk::stored;
use crate::owner::Office;
use crate::policy;

/// When a caller comes back that was refused because the store can't be reached.
const STORE_RETRY: Millis = Millis::new(1_000);
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

    fn submit_failed(&self, id: JobId, e: &PlatformError) -> SubmitReply {
        let effect = e.effect();
        tracing::warn!(job = %id, ?effect, "desk: job not confirmed by the store: {e}");
        match effect {
            Effect::None => SubmitReply::Unavailable {
                retry_after: STORE_RETRY,
            },
            Effect::Unknown => SubmitReply::Unknown,
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
        let txn = Transaction::new()
            .expect(Keys::job(id), Revision::default())
            .expect(Keys::progress(id), Revision::default())
            .put(Keys::job(id), value);
        match self.cx.store.commit(txn).await {
            Ok(TxnOutcome::Committed(revision)) => {
                observe("accepted");
                tracing::info!(job = %id, queue = %queue.name, %revision, "desk: job accepted");
                SubmitReply::Accepted
            }
            Ok(TxnOutcome::Conflict(_)) => {
                observe("repeated");
                tracing::info!(job = %id, queue = %queue.name, "desk: job was accepted before");
                SubmitReply::Accepted
            }
            Ok(TxnOutcome::LeaseEnded) => SubmitReply::Unknown,
            Err(e) => {
                observe("unconfirmed");
                self.submit_failed(id, &e)
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
