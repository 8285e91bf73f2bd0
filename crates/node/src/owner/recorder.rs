use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::Transaction;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::JobState;
use lagoon_jobs::record::{RecordLane, RecordNumber};
use lagoon_platform::PlatformError;
use tokio::sync::mpsc;

use crate::cell::{Claim, Keys, LeaseHandle};
use crate::context::Context;
use crate::owner::Shard;
use crate::owner::lane_state::{LaneState, WrittenJobs};
use crate::owner::lane_writer::LaneWriter;
use crate::owner::write_outcome::WriteOutcome;

/// Delay before a write, in which changes are batched because each write is billed. Callers wait for the write that
/// holds a final state.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// Delay after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time between two checks for final states older than the retention.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two checks for executors that have left; new ones are recorded at once. After a takeover, inherited
/// work waits for each recorded executor that does not answer, so the records of executors that have left are removed
/// soon.
const FLEET_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Largest number of keys of one job in the store: the job, its cancellation and its progress.
const MAX_KEYS_PER_JOB: usize = 3;
/// Largest number of them that are removed once the final state is durable.
const CLEANUP_KEYS_PER_JOB: usize = MAX_KEYS_PER_JOB - 1;

/// Writes progress to the store, in independent lanes.
#[derive(Debug)]
pub(super) struct Recorder {
    cx: Context,
    writer: LaneWriter,
}

impl Recorder {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        Self {
            writer: LaneWriter::new(cx.clone(), claim, step_down),
            cx,
        }
    }

    /// Writes the progress of a lane as it changes, until the task is aborted.
    pub(super) async fn run(self: Arc<Self>, shard: Arc<Shard>, lane: RecordLane) {
        let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
        loop {
            tokio::select! {
                () = shard.records_ready[lane.index()].notified() => {
                    tokio::time::sleep(BATCH_DELAY).await;
                    self.write(&shard, lane).await;
                }
                _ = expiry.tick() => {
                    self.write(&shard, lane).await;
                    self.remove_expired(&shard, lane).await;
                    self.remove_expired_cancellations(&shard, lane).await;
                }
            }
        }
    }

    /// Writes as much as fits into one transaction, and schedules another write for the rest.
    async fn write(&self, shard: &Shard, lane: RecordLane) {
        let mut lane_state = self.writer.lock(lane).await;
        let (number, mut txn) = self.writer.begin_write(lane, &mut lane_state);
        let mut jobs = WrittenJobs::new();
        let records = shard.with(|dispatcher| dispatcher.take_records(lane, txn.remaining()));
        for (id, number, progress) in records {
            let value = serde_json::to_vec(&progress).expect("progress has string keys");
            txn = txn.put(Keys::progress(id), value);
            jobs.push((id, number));
        }
        let max = txn.remaining() / CLEANUP_KEYS_PER_JOB;
        let cleanups = shard.with(|dispatcher| dispatcher.take_cleanups(lane, max));
        for (id, state) in &cleanups {
            txn = txn.remove(Keys::job(*id));
            if *state == JobState::Cancelled {
                txn = txn.remove(Keys::cancelled(*id));
            }
        }
        if jobs.is_empty() && cleanups.is_empty() {
            return;
        }
        let attempt = self
            .writer
            .commit(shard, lane, &mut lane_state, number, txn)
            .await;
        if matches!(attempt, WriteOutcome::Unknown) {
            lane_state.record_unanswered(number, jobs.clone());
        }
        drop(lane_state);
        if !matches!(attempt, WriteOutcome::Applied) {
            shard.with(|dispatcher| {
                dispatcher.not_recorded(&jobs);
                dispatcher.requeue_cleanups(cleanups);
            });
        }
        match attempt {
            WriteOutcome::Applied => self.on_written(shard, &jobs),
            WriteOutcome::EarlierApplied(earlier) => self.on_written(shard, &earlier),
            WriteOutcome::Failed | WriteOutcome::Unknown => tokio::time::sleep(RETRY_DELAY).await,
        }
        if shard.with(|dispatcher| dispatcher.records_waiting(lane)) > 0 {
            shard.records_ready[lane.index()].notify_one();
        }
    }

    fn on_written(&self, shard: &Shard, jobs: &[(JobId, RecordNumber)]) {
        self.cx.metrics.count("records.written", jobs.len() as u64);
        shard.mark_written(jobs);
    }

    async fn remove_expired(&self, shard: &Shard, lane: RecordLane) {
        loop {
            let mut lane_state = self.writer.lock(lane).await;
            let (number, mut txn) = self.writer.begin_write(lane, &mut lane_state);
            let max = txn.remaining() / MAX_KEYS_PER_JOB;
            let expired =
                shard.with(|dispatcher| dispatcher.expired(lane, max, self.cx.clock.now()));
            if expired.is_empty() {
                return;
            }
            for id in &expired {
                txn = txn
                    .remove(Keys::job(*id))
                    .remove(Keys::cancelled(*id))
                    .remove(Keys::progress(*id));
            }
            if !self
                .commit_without_progress(shard, lane, &mut lane_state, number, txn)
                .await
            {
                return;
            }
            shard.with(|dispatcher| dispatcher.forget(&expired));
        }
    }

    /// Removes cancellations of jobs that were never stored.
    async fn remove_expired_cancellations(&self, shard: &Shard, lane: RecordLane) {
        loop {
            let mut lane_state = self.writer.lock(lane).await;
            let (number, mut txn) = self.writer.begin_write(lane, &mut lane_state);
            let now = self.cx.clock.now();
            let expired = shard
                .with(|dispatcher| dispatcher.expired_cancellations(lane, txn.remaining(), now));
            if expired.is_empty() {
                return;
            }
            for id in &expired {
                txn = txn.remove(Keys::cancelled(*id));
            }
            if !self
                .commit_without_progress(shard, lane, &mut lane_state, number, txn)
                .await
            {
                return;
            }
            tracing::info!(%lane, jobs = expired.len(), "owner: cancellations of jobs that were never stored are removed");
            shard.with(|dispatcher| dispatcher.forget_cancellations(&expired));
        }
    }

    /// Records executors before they are used and removes the records of departed ones, until the task is aborted.
    pub(super) async fn run_fleet(self: Arc<Self>, shard: Arc<Shard>) {
        let mut check = tokio::time::interval(FLEET_CHECK_INTERVAL);
        loop {
            tokio::select! {
                () = shard.fleet_changed.notified() => {}
                _ = check.tick() => {}
            }
            while !self.write_fleet(&shard).await {}
        }
    }

    /// Writes as much as fits into one transaction; returns true if there was nothing to write.
    async fn write_fleet(&self, shard: &Shard) -> bool {
        let lane = RecordLane::FIRST;
        let mut lane_state = self.writer.lock(lane).await;
        let (number, mut txn) = self.writer.begin_write(lane, &mut lane_state);
        let new = shard.with(|dispatcher| dispatcher.unrecorded_executors(txn.remaining()));
        for (_, record) in &new {
            let value = serde_json::to_vec(record).expect("records have string keys");
            txn = txn.put(Keys::executor(&record.id), value);
        }
        let now = self.cx.clock.now();
        let departed =
            shard.with(|dispatcher| dispatcher.take_departed_executors(txn.remaining(), now));
        for id in &departed {
            txn = txn.remove(Keys::executor(id));
        }
        if new.is_empty() && departed.is_empty() {
            return true;
        }
        let is_written = self
            .commit_without_progress(shard, lane, &mut lane_state, number, txn)
            .await;
        drop(lane_state);
        if is_written {
            shard.change(|dispatcher| dispatcher.executors_recorded(&new));
        } else {
            shard.with(|dispatcher| dispatcher.requeue_departed(departed));
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Writes the owner's key again after its lease expired, unless another member has claimed the cell.
    pub(super) async fn restore_owner_key(
        &self,
        shard: &Shard,
        lease: &LeaseHandle,
    ) -> Result<bool, PlatformError> {
        let Some(lease) = *lease.borrow() else {
            return Ok(false);
        };
        let (is_written, earlier) = self.writer.restore_owner_key(lease).await?;
        self.on_written(shard, &earlier);
        Ok(is_written)
    }

    /// Commits a write that contains no progress of jobs; returns true if it took effect.
    async fn commit_without_progress(
        &self,
        shard: &Shard,
        lane: RecordLane,
        lane_state: &mut LaneState,
        number: u64,
        txn: Transaction,
    ) -> bool {
        match self
            .writer
            .commit(shard, lane, lane_state, number, txn)
            .await
        {
            WriteOutcome::Applied => true,
            WriteOutcome::EarlierApplied(earlier) => {
                self.on_written(shard, &earlier);
                false
            }
            WriteOutcome::Failed | WriteOutcome::Unknown => false,
        }
    }
}
