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
use crate::owner::attempt::Attempt;
use crate::owner::lanes::Lanes;
use crate::owner::position::{Position, Written};

/// Time in which changes gather before a write. Each write is billed, and a caller waits for it before it sees an end.
const GROUP_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time between two searches for jobs whose final state was kept long enough.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);

/// Time between two searches for executors that have left. New ones are recorded at once. After a takeover, inherited work
/// waits for each executor that is recorded and does not answer, so that records of those that have left go soon.
const CHECK_FLEET_EVERY: Duration = Duration::from_millis(300);

/// Most keys of the store that one job has: itself, its cancellation and its progress.
const MAX_KEYS_A_JOB: usize = 3;
/// Most of them that are left over once its final state is durable.
const LEFTOVER_KEYS: usize = MAX_KEYS_A_JOB - 1;

/// Writes progress to the store, in lanes that do not wait for each other.
#[derive(Debug)]
pub(super) struct Recorder {
    cx: Context,
    lanes: Lanes,
}

impl Recorder {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        Self {
            lanes: Lanes::new(cx.clone(), claim, step_down),
            cx,
        }
    }

    /// Writes progress of a lane as it changes, until the task is aborted.
    pub(super) async fn run(self: Arc<Self>, shard: Arc<Shard>, lane: RecordLane) {
        let mut expiry = tokio::time::interval(EXPIRE_EVERY);
        loop {
            tokio::select! {
                () = shard.to_record[lane.index()].notified() => {
                    tokio::time::sleep(GROUP_PAUSE).await;
                    self.write(&shard, lane).await;
                }
                _ = expiry.tick() => {
                    self.write(&shard, lane).await;
                    self.remove_expired(&shard, lane).await;
                }
            }
        }
    }

    /// Writes what fits into one transaction, and asks for another write if something is left.
    async fn write(&self, shard: &Shard, lane: RecordLane) {
        let mut position = self.lanes.lock(lane).await;
        let (number, mut txn) = self.lanes.begin(lane, &mut position);
        let mut jobs = Written::new();
        let records = shard.with(|dispatcher| dispatcher.take_records(lane, txn.room()));
        for (id, number, progress) in records {
            let value = serde_json::to_vec(&progress).expect("progress has string keys");
            txn = txn.put(Keys::progress(id), value);
            jobs.push((id, number));
        }
        let max = txn.room() / LEFTOVER_KEYS;
        let leftovers = shard.with(|dispatcher| dispatcher.take_cleanups(lane, max));
        for (id, state) in &leftovers {
            txn = txn.remove(Keys::job(*id));
            if *state == JobState::Cancelled {
                txn = txn.remove(Keys::cancelled(*id));
            }
        }
        if jobs.is_empty() && leftovers.is_empty() {
            return;
        }
        let attempt = self
            .lanes
            .commit(shard, lane, &mut position, number, txn)
            .await;
        if matches!(attempt, Attempt::Unknown) {
            position.keep_unanswered(number, jobs.clone());
        }
        drop(position);
        if !matches!(attempt, Attempt::Made) {
            shard.with(|dispatcher| {
                dispatcher.not_recorded(&jobs);
                dispatcher.requeue_cleanups(leftovers);
            });
        }
        match attempt {
            Attempt::Made => self.note_written(shard, &jobs),
            Attempt::Overtaken(earlier) => self.note_written(shard, &earlier),
            Attempt::Failed | Attempt::Unknown => tokio::time::sleep(RETRY_PAUSE).await,
        }
        if shard.with(|dispatcher| dispatcher.records_waiting(lane)) > 0 {
            shard.to_record[lane.index()].notify_one();
        }
    }

    fn note_written(&self, shard: &Shard, jobs: &[(JobId, RecordNumber)]) {
        self.cx.metrics.count("records.written", jobs.len() as u64);
        shard.record_written(jobs);
    }

    async fn remove_expired(&self, shard: &Shard, lane: RecordLane) {
        loop {
            let mut position = self.lanes.lock(lane).await;
            let (number, mut txn) = self.lanes.begin(lane, &mut position);
            let max = txn.room() / MAX_KEYS_A_JOB;
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
                .commit_other(shard, lane, &mut position, number, txn)
                .await
            {
                return;
            }
            shard.with(|dispatcher| dispatcher.forget(&expired));
        }
    }

    /// Records executors before they are used, and removes the records of those that are gone, until the task is aborted.
    pub(super) async fn run_fleet(self: Arc<Self>, shard: Arc<Shard>) {
        let mut check = tokio::time::interval(CHECK_FLEET_EVERY);
        loop {
            tokio::select! {
                () = shard.fleet_changed.notified() => {}
                _ = check.tick() => {}
            }
            while !self.write_fleet(&shard).await {}
        }
    }

    /// Writes what fits into one transaction; true if nothing was left to write.
    async fn write_fleet(&self, shard: &Shard) -> bool {
        let lane = RecordLane::FIRST;
        let mut position = self.lanes.lock(lane).await;
        let (number, mut txn) = self.lanes.begin(lane, &mut position);
        let new = shard.with(|dispatcher| dispatcher.unrecorded_executors(txn.room()));
        for (_, record) in &new {
            let value = serde_json::to_vec(record).expect("records have string keys");
            txn = txn.put(Keys::executor(&record.id), value);
        }
        let now = self.cx.clock.now();
        let gone = shard.with(|dispatcher| dispatcher.take_departed_executors(txn.room(), now));
        for id in &gone {
            txn = txn.remove(Keys::executor(id));
        }
        if new.is_empty() && gone.is_empty() {
            return true;
        }
        let is_written = self
            .commit_other(shard, lane, &mut position, number, txn)
            .await;
        drop(position);
        if is_written {
            shard.change(|dispatcher| dispatcher.executors_recorded(&new));
        } else {
            shard.with(|dispatcher| dispatcher.requeue_departed(gone));
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Writes the owner's key again after it was lost, if no other member has claimed the cell.
    pub(super) async fn reassert(
        &self,
        shard: &Shard,
        lease: &LeaseHandle,
    ) -> Result<bool, PlatformError> {
        let Some(lease) = *lease.borrow() else {
            return Ok(false);
        };
        let (is_written, earlier) = self.lanes.reassert(lease).await?;
        self.note_written(shard, &earlier);
        Ok(is_written)
    }

    /// Commits a write without progress of jobs; true if it took effect.
    async fn commit_other(
        &self,
        shard: &Shard,
        lane: RecordLane,
        position: &mut Position,
        number: u64,
        txn: Transaction,
    ) -> bool {
        match self.lanes.commit(shard, lane, position, number, txn).await {
            Attempt::Made => true,
            Attempt::Overtaken(earlier) => {
                self.note_written(shard, &earlier);
                false
            }
            Attempt::Failed | Attempt::Unknown => false,
        }
    }
}
