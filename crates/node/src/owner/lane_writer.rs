use std::time::Duration;

use lagoon_adapter::store::{LeaseId, Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::Epoch;
use lagoon_jobs::record::RecordLane;
use lagoon_platform::{CallEffect, PlatformError};
use tokio::sync::{Mutex, MutexGuard, mpsc};

use crate::cell::{Claim, Head, Keys, owner_transaction};
use crate::context::Context;
use crate::owner::Shard;
use crate::owner::lane_state::{LaneState, WrittenJobs};
use crate::owner::write_outcome::WriteOutcome;

/// Time between two reads of a lane's head that check whether a pending write took effect. The slowest link has a round trip
/// of 40 ms, and a slow store takes 0.25 s.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Writes to the record lanes of one owner. Every write is conditional on the head of its lane, so none takes effect after a
/// later owner has claimed the cell or after a newer write of the lane.
#[derive(Debug)]
pub(super) struct LaneWriter {
    cx: Context,
    epoch: Epoch,
    lanes: [Mutex<LaneState>; RecordLane::COUNT],
    step_down: mpsc::Sender<()>,
}

impl LaneWriter {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        Self {
            cx,
            epoch: claim.epoch,
            lanes: std::array::from_fn(|_| Mutex::new(LaneState::new(claim.heads))),
            step_down,
        }
    }

    /// Waits until no other write of the lane is in flight and locks it.
    pub(super) async fn lock(&self, lane: RecordLane) -> MutexGuard<'_, LaneState> {
        self.lanes[lane.index()].lock().await
    }

    /// Writes the owner's key again after its lease expired, unless another member has claimed the cell.
    ///
    /// Returns true if the key is written, and the jobs of earlier unanswered writes that turned out to have taken effect.
    ///
    /// # Errors
    ///
    /// When the store does not answer; the key may have been written.
    pub(super) async fn restore_owner_key(
        &self,
        lease: LeaseId,
    ) -> Result<(bool, WrittenJobs), PlatformError> {
        // All lanes stay locked until the end, so that no write in flight changes the revision of a head.
        let mut lanes: Vec<(RecordLane, u64, MutexGuard<'_, LaneState>)> = Vec::new();
        for lane in RecordLane::all() {
            let mut lane_state = self.lock(lane).await;
            lanes.push((lane, lane_state.next_attempt(), lane_state));
        }
        let heads = lanes.iter();
        let heads = heads.map(|(lane, number, at)| (*lane, at.revision, self.head(*number)));
        let txn = owner_transaction(&self.cx, self.epoch, Revision::default(), heads, lease);
        match self.cx.store.commit(txn).await? {
            TxnOutcome::Committed(revision) => {
                for (_, number, lane_state) in &mut lanes {
                    lane_state.advance(revision, *number);
                }
                Ok((true, WrittenJobs::new()))
            }
            TxnOutcome::Conflict(items) => {
                let mut written = WrittenJobs::new();
                for (lane, _, lane_state) in &mut lanes {
                    written.append(&mut self.resolve_conflict(*lane, lane_state, &items));
                }
                Ok((false, written))
            }
            TxnOutcome::LeaseEnded => Ok((false, WrittenJobs::new())),
        }
    }

    fn head(&self, write: u64) -> Head {
        Head {
            epoch: self.epoch,
            write,
        }
    }

    /// Begins a write and returns the number of the attempt, which the head of the lane contains once the write has
    /// taken effect.
    pub(super) fn begin_write(
        &self,
        lane: RecordLane,
        lane_state: &mut LaneState,
    ) -> (u64, Transaction) {
        let (key, number) = (Keys::head(lane), lane_state.next_attempt());
        let txn = Transaction::new()
            .expect(key.clone(), lane_state.revision)
            .put(key, self.head(number).encode());
        (number, txn)
    }

    /// Commits a write. A write that takes effect also confirms the ownership.
    pub(super) async fn commit(
        &self,
        shard: &Shard,
        lane: RecordLane,
        lane_state: &mut LaneState,
        number: u64,
        txn: Transaction,
    ) -> WriteOutcome {
        let started_at = self.cx.clock.now();
        let response = tokio::select! {
            response = self.cx.store.commit(txn) => response,
            revision = self.poll_head(lane, number) => Ok(TxnOutcome::Committed(revision)),
        };
        let label = if response.is_ok() {
            "answered"
        } else {
            "failed"
        };
        let time = self.cx.clock.now().since(started_at);
        self.cx.metrics.observe("record.write", label, time);
        match response {
            Ok(TxnOutcome::Committed(revision)) => {
                lane_state.advance(revision, number);
                shard.confirm_ownership(&self.cx, started_at);
                WriteOutcome::Applied
            }
            Ok(TxnOutcome::Conflict(items)) => {
                let earlier = self.resolve_conflict(lane, lane_state, &items);
                match earlier.is_empty() {
                    true => WriteOutcome::Failed,
                    false => WriteOutcome::EarlierApplied(earlier),
                }
            }
            Ok(TxnOutcome::LeaseEnded) => WriteOutcome::Failed,
            Err(e) => {
                tracing::warn!(%lane, "owner: write of records failed, it is repeated: {e}");
                match e.effect() {
                    CallEffect::None => WriteOutcome::Failed,
                    CallEffect::Unknown => WriteOutcome::Unknown,
                }
            }
        }
    }

    /// Polls the head of a lane and returns the revision of a write once it has taken effect. Otherwise a lost answer
    /// would be detected only at the time-out of the call, and the final states of jobs wait for it.
    async fn poll_head(&self, lane: RecordLane, number: u64) -> Revision {
        loop {
            tokio::time::sleep(HEAD_POLL_INTERVAL).await;
            match self.cx.store.get(&Keys::head(lane)).await {
                Ok(Some(item)) if Head::read(&item) == self.head(number) => {
                    tracing::info!(%lane, write = number, "owner: unanswered write took effect");
                    return item.revision;
                }
                Ok(_) => {}
                Err(e) => tracing::debug!(%lane, "owner: head of the lane not read: {e}"),
            }
        }
    }

    /// Adopts the revision of an unanswered write of this owner and returns the jobs whose progress it contains, or
    /// steps down if the conflict is with a later owner.
    fn resolve_conflict(
        &self,
        lane: RecordLane,
        lane_state: &mut LaneState,
        items: &[StoreItem],
    ) -> WrittenJobs {
        let key = Keys::head(lane);
        let item = items.iter().find(|item| item.key == key);
        match item.map(|item| (item, Head::read(item))) {
            Some((item, found)) if found.epoch == self.epoch => {
                if item.revision != lane_state.revision {
                    tracing::info!(%lane, write = found.write, "owner: unanswered write took effect");
                }
                lane_state.advance(item.revision, found.write)
            }
            found => {
                let epoch = found.map(|(_, head)| head.epoch.get());
                tracing::warn!(%lane, found = epoch, own = %self.epoch, "owner: a later owner has claimed the cell, stepping down");
                // If the channel is full, a request to step down is already pending.
                let _ = self.step_down.try_send(());
                WrittenJobs::new()
            }
        }
    }
}
