use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::{Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::{Epoch, JobId};
use lagoon_jobs::job::JobState;
use lagoon_jobs::record::{RecordLane, RecordNumber};
use lagoon_platform::{Effect, PlatformError};
use tokio::sync::{Mutex, MutexGuard, mpsc};

use crate::cell::{Claim, Head, Keys, LeaseHandle, owner_transaction};
use crate::context::Context;
use crate::owner::Shard;
use crate::owner::position::{Position, Written};

/// Time in which changes gather before a write. Each write is billed, and a caller waits for it before it sees an end.
const GROUP_PAUSE: Duration = Duration::from_millis(25);
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time after which the head of a lane is read to see whether a write took effect. The slowest link takes 40 ms there and back,
/// a slow store 0.25 s.
const LOOK_EVERY: Duration = Duration::from_millis(300);
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

/// What became of an attempt to write.
#[derive(Debug)]
enum Attempt {
    /// It took effect.
    Made,
    /// It had no effect, but an earlier one without an answer had: the progress of these jobs is durable.
    Overtaken(Written),
    /// It had no effect.
    Failed,
    /// It was not answered and may take effect.
    Unknown,
}

impl Recorder {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        Self {
            cx,
            epoch: claim.epoch,
            positions: std::array::from_fn(|_| Mutex::new(Position::new(claim.heads))),
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
        let (number, mut txn) = self.begin(lane, &mut position);
        let mut jobs = Written::new();
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
        let attempt = self.commit(shard, lane, &mut position, number, txn).await;
        if matches!(attempt, Attempt::Unknown) {
            position.keep_unanswered(number, jobs.clone());
        }
        drop(position);
        if !matches!(attempt, Attempt::Made) {
            shard.with(|dispatcher| {
                dispatcher.not_recorded(&jobs);
                dispatcher.put_back_leftovers(leftovers);
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
            let mut position = self.positions[lane.index()].lock().await;
            let (number, mut txn) = self.begin(lane, &mut position);
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
        let mut position = self.positions[lane.index()].lock().await;
        let (number, mut txn) = self.begin(lane, &mut position);
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
        let is_written = self
            .commit_other(shard, lane, &mut position, number, txn)
            .await;
        drop(position);
        if is_written {
            shard.change(|dispatcher| dispatcher.executors_recorded(&new));
        } else {
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
        // Each lane is locked until the end, so that no write is under way whose revision the claim would miss.
        let mut positions: Vec<(RecordLane, u64, MutexGuard<'_, Position>)> = Vec::new();
        for lane in RecordLane::all() {
            let mut position = self.positions[lane.index()].lock().await;
            positions.push((lane, position.next_attempt(), position));
        }
        let heads = positions.iter();
        let heads = heads.map(|(lane, number, at)| (*lane, at.revision, self.head(*number)));
        let txn = owner_transaction(&self.cx, self.epoch, Revision::default(), heads, lease);
        match self.cx.store.commit(txn).await? {
            TxnOutcome::Committed(revision) => {
                for (_, number, position) in &mut positions {
                    position.advance(revision, *number);
                }
                Ok(true)
            }
            TxnOutcome::Conflict(items) => {
                for (lane, _, position) in &mut positions {
                    let written = self.follow_head(*lane, position, &items);
                    self.note_written(shard, &written);
                }
                Ok(false)
            }
            TxnOutcome::LeaseEnded => Ok(false),
        }
    }

    fn head(&self, write: u64) -> Head {
        Head {
            epoch: self.epoch,
            write,
        }
    }

    /// Begins a write with the number of the attempt, which the head of the lane tells once it has taken effect.
    fn begin(&self, lane: RecordLane, position: &mut Position) -> (u64, Transaction) {
        let (key, number) = (Keys::head(lane), position.next_attempt());
        let txn = Transaction::new()
            .expect(key.clone(), position.revision)
            .put(key, self.head(number).encode());
        (number, txn)
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
        match self.commit(shard, lane, position, number, txn).await {
            Attempt::Made => true,
            Attempt::Overtaken(earlier) => {
                self.note_written(shard, &earlier);
                false
            }
            Attempt::Failed | Attempt::Unknown => false,
        }
    }

    /// Commits a write. One that takes effect confirms the ownership.
    async fn commit(
        &self,
        shard: &Shard,
        lane: RecordLane,
        position: &mut Position,
        number: u64,
        txn: Transaction,
    ) -> Attempt {
        let began = self.cx.clock.now();
        let answer = tokio::select! {
            answer = self.cx.store.commit(txn) => answer,
            revision = self.see_effect(lane, number) => Ok(TxnOutcome::Committed(revision)),
        };
        let label = if answer.is_ok() { "answered" } else { "failed" };
        let time = self.cx.clock.now().since(began);
        self.cx.metrics.observe("record.write", label, time);
        match answer {
            Ok(TxnOutcome::Committed(revision)) => {
                position.advance(revision, number);
                shard.with(|dispatcher| dispatcher.confirm(began));
                Attempt::Made
            }
            Ok(TxnOutcome::Conflict(items)) => {
                let earlier = self.follow_head(lane, position, &items);
                match earlier.is_empty() {
                    true => Attempt::Failed,
                    false => Attempt::Overtaken(earlier),
                }
            }
            Ok(TxnOutcome::LeaseEnded) => Attempt::Failed,
            Err(e) => {
                tracing::warn!(%lane, "owner: progress not written: {e}");
                match e.effect() {
                    Effect::None => Attempt::Failed,
                    Effect::Unknown => Attempt::Unknown,
                }
            }
        }
    }

    /// Returns the revision of a write once the head of its lane tells that it took effect. Ends of jobs wait for this, and an
    /// answer that is lost is otherwise noticed only when the time for it is over.
    async fn see_effect(&self, lane: RecordLane, number: u64) -> Revision {
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            match self.cx.store.get(&Keys::head(lane)).await {
                Ok(Some(item)) if Head::read(&item) == self.head(number) => {
                    tracing::info!(%lane, write = number, "owner: a write without an answer took effect");
                    return item.revision;
                }
                Ok(_) => {}
                Err(e) => tracing::debug!(%lane, "owner: head not read: {e}"),
            }
        }
    }

    /// Takes over the revision of a write of ours that was not answered, and returns the jobs whose progress it holds, or
    /// steps down for a later owner.
    fn follow_head(
        &self,
        lane: RecordLane,
        position: &mut Position,
        items: &[StoreItem],
    ) -> Written {
        let key = Keys::head(lane);
        let item = items.iter().find(|item| item.key == key);
        match item.map(|item| (item, Head::read(item))) {
            Some((item, found)) if found.epoch == self.epoch => {
                if item.revision != position.revision {
                    tracing::info!(%lane, write = found.write, "owner: a write without an answer took effect");
                }
                position.advance(item.revision, found.write)
            }
            found => {
                let epoch = found.map(|(_, head)| head.epoch.get());
                tracing::warn!(%lane, found = epoch, own = %self.epoch, "owner: a later owner has claimed the cell");
                // A full channel means that the step is already under way.
                let _ = self.step_down.try_send(());
                Written::new()
            }
        }
    }
}
