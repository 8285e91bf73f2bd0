use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::{Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::{Epoch, JobId};
use lagoon_jobs::job::JobState;
use lagoon_jobs::record::{RecordLane, RecordNumber};
use lagoon_platform::PlatformError;
use tokio::sync::{Mutex, MutexGuard, mpsc};

use crate::cell::{Claim, Head, Keys, LeaseHandle, owner_transaction};
use crate::context::Context;
use crate::owner::Shard;

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

/// Writes progress to the store, in lanes that do not wait for each other. Every write has the head of its lane as its
/// condition, so that none takes effect after a later owner has claimed the cell, and none late after a newer one.
#[derive(Debug)]
pub(super) struct Recorder {
    cx: Context,
    epoch: Epoch,
    positions: [Mutex<Position>; RecordLane::COUNT],
    step_down: mpsc::Sender<()>,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    revision: Revision,
    write: u64,
}

impl Recorder {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        let position = Position {
            revision: claim.heads,
            write: 0,
        };
        Self {
            cx,
            epoch: claim.epoch,
            positions: std::array::from_fn(|_| Mutex::new(position)),
            step_down,
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
        let mut position = self.positions[lane.index()].lock().await;
        let mut txn = self.begin(lane, *position);
        let mut jobs: Vec<(JobId, RecordNumber)> = Vec::new();
        let records = shard.with(|dispatcher| dispatcher.take_records(lane, txn.room()));
        for (id, number, progress) in records {
            let value = serde_json::to_vec(&progress).expect("progress has string keys");
            txn = txn.put(Keys::progress(id), value);
            jobs.push((id, number));
        }
        let max = txn.room() / LEFTOVER_KEYS;
        let leftovers = shard.with(|dispatcher| dispatcher.take_leftovers(lane, max));
        for (id, state) in &leftovers {
            txn = txn.remove(Keys::job(*id));
            if *state == JobState::Cancelled {
                txn = txn.remove(Keys::cancelled(*id));
            }
        }
        if jobs.is_empty() && leftovers.is_empty() {
            return;
        }
        let is_written = self.commit(shard, lane, &mut position, txn).await;
        drop(position);
        if is_written {
            self.cx.metrics.count("records.written", jobs.len() as u64);
            shard.record_written(&jobs);
        } else {
            shard.with(|dispatcher| {
                dispatcher.not_recorded(&jobs);
                dispatcher.put_back_leftovers(leftovers);
            });
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if shard.with(|dispatcher| dispatcher.records_waiting(lane)) > 0 {
            shard.to_record[lane.index()].notify_one();
        }
    }

    async fn remove_expired(&self, shard: &Shard, lane: RecordLane) {
        loop {
            let mut position = self.positions[lane.index()].lock().await;
            let mut txn = self.begin(lane, *position);
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
            if !self.commit(shard, lane, &mut position, txn).await {
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
        let mut position = self.positions[lane.index()].lock().await;
        let mut txn = self.begin(lane, *position);
        let new = shard.with(|dispatcher| dispatcher.unrecorded_executors(txn.room()));
        for (_, record) in &new {
            let value = serde_json::to_vec(record).expect("records have string keys");
            txn = txn.put(Keys::executor(&record.id), value);
        }
        let now = self.cx.clock.now();
        let gone = shard.with(|dispatcher| dispatcher.take_gone_executors(txn.room(), now));
        for id in &gone {
            txn = txn.remove(Keys::executor(id));
        }
        if new.is_empty() && gone.is_empty() {
            return true;
        }
        let is_written = self.commit(shard, lane, &mut position, txn).await;
        drop(position);
        if is_written {
            shard.change(|dispatcher| dispatcher.executors_recorded(&new));
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Writes the owner's key again after it was lost, if no other member has claimed the cell.
    pub(super) async fn reassert(&self, lease: &LeaseHandle) -> Result<bool, PlatformError> {
        let Some(lease) = *lease.borrow() else {
            return Ok(false);
        };
        // Each lane is locked until the end, so that no write is under way whose revision the claim would miss.
        let mut positions: Vec<MutexGuard<'_, Position>> = Vec::new();
        for position in &self.positions {
            positions.push(position.lock().await);
        }
        let heads = RecordLane::all().zip(&positions);
        let heads = heads.map(|(lane, at)| (lane, at.revision, self.head(**at)));
        let txn = owner_transaction(&self.cx, self.epoch, Revision::default(), heads, lease);
        match self.cx.store.commit(txn).await? {
            TxnOutcome::Committed(revision) => {
                for position in &mut positions {
                    position.revision = revision;
                    position.write += 1;
                }
                Ok(true)
            }
            TxnOutcome::Conflict(items) => {
                for (lane, position) in RecordLane::all().zip(&mut positions) {
                    self.follow_head(lane, position, &items);
                }
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

    fn begin(&self, lane: RecordLane, position: Position) -> Transaction {
        let key = Keys::head(lane);
        Transaction::new()
            .expect(key.clone(), position.revision)
            .put(key, self.head(position).encode())
    }

    /// Commits a write; true if it took effect, which confirms the ownership.
    async fn commit(
        &self,
        shard: &Shard,
        lane: RecordLane,
        position: &mut Position,
        txn: Transaction,
    ) -> bool {
        let began = self.cx.clock.now();
        let answer = self.cx.store.commit(txn).await;
        let label = if answer.is_ok() { "answered" } else { "failed" };
        let time = self.cx.clock.now().since(began);
        self.cx.metrics.observe("record.write", label, time);
        match answer {
            Ok(TxnOutcome::Committed(revision)) => {
                position.revision = revision;
                position.write += 1;
                shard.with(|dispatcher| dispatcher.confirm(began));
                true
            }
            Ok(TxnOutcome::Conflict(items)) => {
                self.follow_head(lane, position, &items);
                false
            }
            Ok(TxnOutcome::LeaseEnded) => false,
            Err(e) => {
                tracing::warn!(%lane, "owner: progress not written: {e}");
                false
            }
        }
    }

    /// Takes over the revision of a write of ours that was not answered, or steps down for a later owner.
    fn follow_head(&self, lane: RecordLane, position: &mut Position, items: &[StoreItem]) {
        let key = Keys::head(lane);
        let item = items.iter().find(|item| item.key == key);
        match item.map(|item| (item, Head::read(item))) {
            Some((item, found)) if found.epoch == self.epoch => {
                if found.write != position.write {
                    tracing::info!(%lane, write = found.write, "owner: a write without an answer took effect");
                }
                position.revision = item.revision;
                position.write = found.write;
            }
            found => {
                let epoch = found.map(|(_, head)| head.epoch.get());
                tracing::warn!(%lane, found = epoch, own = %self.epoch, "owner: a later owner has claimed the cell");
                // A full channel means that the step is already under way.
                let _ = self.step_down.try_send(());
            }
        }
    }
}
