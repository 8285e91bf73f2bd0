use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::{Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::{Epoch, JobId};
use lagoon_jobs::job::{JobState, Progress};
use lagoon_jobs::record::RecordNumber;
use lagoon_platform::PlatformError;
use tokio::sync::{Mutex, mpsc};

use crate::cell::{Claim, Head, Keys, LeaseHandle, owner_transaction};
use crate::context::Context;
use crate::owner::Shard;

/// Time in which changes gather before a write. Each write is billed, and a caller waits for it before it sees an end.
const GROUP_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time between two searches for jobs whose final state was kept long enough.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);

/// Most keys of the store that one job has: itself, its cancellation and its progress.
const MAX_ENTRIES_A_JOB: usize = 3;

/// Writes progress to the store. Every write has the head of the owner's records as its condition, so that none takes
/// effect after a later owner has claimed the cell, and none late after a newer one.
#[derive(Debug)]
pub(super) struct Recorder {
    cx: Context,
    epoch: Epoch,
    position: Mutex<Position>,
    step_down: mpsc::Sender<()>,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    revision: Revision,
    write: u64,
}

impl Recorder {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        Self {
            cx,
            epoch: claim.epoch,
            position: Mutex::new(Position {
                revision: claim.head,
                write: 0,
            }),
            step_down,
        }
    }

    /// Writes progress as it changes, until the task is aborted.
    pub(super) async fn run(self: Arc<Self>, shard: Arc<Shard>) {
        let mut expiry = tokio::time::interval(EXPIRE_EVERY);
        loop {
            tokio::select! {
                () = shard.to_record.notified() => {
                    tokio::time::sleep(GROUP_PAUSE).await;
                    self.write_all(&shard).await;
                }
                _ = expiry.tick() => self.remove_expired(&shard).await,
            }
        }
    }

    async fn write_all(&self, shard: &Shard) {
        loop {
            let position = *self.position.lock().await;
            let mut txn = self.begin(position);
            let mut jobs: Vec<(JobId, RecordNumber)> = Vec::new();
            while txn.room() >= MAX_ENTRIES_A_JOB
                && let Some((id, number, progress)) =
                    shard.with(|dispatcher| dispatcher.take_records(1)).pop()
            {
                txn = with_progress(txn, id, &progress);
                jobs.push((id, number));
            }
            if jobs.is_empty() {
                return;
            }
            if self.commit(txn).await {
                self.cx.metrics.count("records.written", jobs.len() as u64);
                shard.change(|dispatcher| dispatcher.recorded(&jobs));
                shard.recorded.send_modify(|count| *count += 1);
            } else {
                shard.with(|dispatcher| dispatcher.not_recorded(&jobs));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn remove_expired(&self, shard: &Shard) {
        loop {
            let mut txn = self.begin(*self.position.lock().await);
            let max = txn.room() / MAX_ENTRIES_A_JOB;
            let expired = shard.with(|dispatcher| dispatcher.expired(max, self.cx.clock.now()));
            if expired.is_empty() {
                return;
            }
            for id in &expired {
                txn = txn
                    .remove(Keys::job(*id))
                    .remove(Keys::cancelled(*id))
                    .remove(Keys::progress(*id));
            }
            if !self.commit(txn).await {
                return;
            }
            shard.with(|dispatcher| dispatcher.forget(&expired));
        }
    }

    /// Writes the owner's key again after it was lost, if no other member has claimed the cell.
    pub(super) async fn reassert(&self, lease: &LeaseHandle) -> Result<bool, PlatformError> {
        let Some(lease) = *lease.borrow() else {
            return Ok(false);
        };
        let mut position = self.position.lock().await;
        let head = self.head(*position);
        let txn = owner_transaction(&self.cx, head, position.revision, lease);
        match self.cx.store.commit(txn).await? {
            TxnOutcome::Committed(revision) => {
                position.revision = revision;
                position.write = head.write;
                Ok(true)
            }
            TxnOutcome::Conflict(items) => {
                self.follow_head(&mut position, &items).await;
                Ok(false)
            }
            TxnOutcome::LeaseEnded => Ok(false),
        }
    }

    fn head(&self, position: Position) -> Head {
        Head {
            epoch: self.epoch,
            write: position.write + 1,
        }
    }

    fn begin(&self, position: Position) -> Transaction {
        let value = serde_json::to_vec(&self.head(position)).expect("heads have string keys");
        Transaction::new()
            .expect(Keys::HEAD, position.revision)
            .put(Keys::HEAD, value)
    }

    async fn commit(&self, txn: Transaction) -> bool {
        let mut position = self.position.lock().await;
        let began = self.cx.clock.now();
        let answer = self.cx.store.commit(txn).await;
        let label = if answer.is_ok() { "answered" } else { "failed" };
        let time = self.cx.clock.now().since(began);
        self.cx.metrics.observe("record.write", label, time);
        match answer {
            Ok(TxnOutcome::Committed(revision)) => {
                position.revision = revision;
                position.write += 1;
                true
            }
            Ok(TxnOutcome::Conflict(items)) => {
                self.follow_head(&mut position, &items).await;
                false
            }
            Ok(TxnOutcome::LeaseEnded) => false,
            Err(e) => {
                tracing::warn!("owner: progress not written: {e}");
                false
            }
        }
    }

    /// Takes over the revision of a write of ours that was not answered, or steps down for a later owner.
    async fn follow_head(&self, position: &mut Position, items: &[StoreItem]) {
        let head = items.iter().find(|item| item.key == Keys::HEAD);
        let found: Option<Head> = head.and_then(|item| serde_json::from_slice(&item.value).ok());
        match (head, found) {
            (Some(item), Some(found)) if found.epoch == self.epoch => {
                tracing::info!(
                    write = found.write,
                    "owner: a write without an answer took effect"
                );
                position.revision = item.revision;
                position.write = found.write;
            }
            _ => {
                tracing::warn!(?found, epoch = %self.epoch, "owner: a later owner has claimed the cell");
                // A full channel means that the step is already under way.
                let _ = self.step_down.try_send(());
            }
        }
    }
}

/// Adds a job's progress. Of an ended job only that stays, so that a new owner reads back little of what is over.
fn with_progress(txn: Transaction, id: JobId, progress: &Progress) -> Transaction {
    let value = serde_json::to_vec(progress).expect("progress has string keys");
    let txn = txn.put(Keys::progress(id), value);
    match progress.outcome {
        Some(JobState::Cancelled) => txn.remove(Keys::job(id)).remove(Keys::cancelled(id)),
        Some(_) => txn.remove(Keys::job(id)),
        None => txn,
    }
}
