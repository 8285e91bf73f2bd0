use std::time::Duration;

use lagoon_adapter::store::{LeaseId, Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::Epoch;
use lagoon_jobs::record::RecordLane;
use lagoon_platform::{CallEffect, PlatformError};
use tokio::sync::{Mutex, MutexGuard, mpsc};

use crate::cell::{Claim, Head, Keys, owner_transaction};
use crate::context::Context;
use crate::owner::Shard;
use crate::owner::attempt::Attempt;
use crate::owner::position::{Position, Written};

/// Time after which the head of a lane is read to see whether a write took effect. The slowest link takes 40 ms there and back,
/// a slow store 0.25 s.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// The lanes of records of one owner. Every write has the head of its lane as its condition, so that none takes effect after a
/// later owner has claimed the cell, and none late after a newer one.
#[derive(Debug)]
pub(super) struct Lanes {
    cx: Context,
    epoch: Epoch,
    positions: [Mutex<Position>; RecordLane::COUNT],
    step_down: mpsc::Sender<()>,
}

impl Lanes {
    pub(super) fn new(cx: Context, claim: Claim, step_down: mpsc::Sender<()>) -> Self {
        Self {
            cx,
            epoch: claim.epoch,
            positions: std::array::from_fn(|_| Mutex::new(Position::new(claim.heads))),
            step_down,
        }
    }

    /// Waits until no other write of a lane is under way.
    pub(super) async fn lock(&self, lane: RecordLane) -> MutexGuard<'_, Position> {
        self.positions[lane.index()].lock().await
    }

    /// Writes the owner's key again after it was lost, if no other member has claimed the cell.
    ///
    /// Returns whether it is written, and the jobs of earlier writes that turned out to have taken effect.
    ///
    /// # Errors
    ///
    /// When the store gives no answer; the key may have been written.
    pub(super) async fn reassert(&self, lease: LeaseId) -> Result<(bool, Written), PlatformError> {
        // Each lane is locked until the end, so that no write is under way whose revision the claim would miss.
        let mut positions: Vec<(RecordLane, u64, MutexGuard<'_, Position>)> = Vec::new();
        for lane in RecordLane::all() {
            let mut position = self.lock(lane).await;
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
                Ok((true, Written::new()))
            }
            TxnOutcome::Conflict(items) => {
                let mut written = Written::new();
                for (lane, _, position) in &mut positions {
                    written.append(&mut self.follow_head(*lane, position, &items));
                }
                Ok((false, written))
            }
            TxnOutcome::LeaseEnded => Ok((false, Written::new())),
        }
    }

    fn head(&self, write: u64) -> Head {
        Head {
            epoch: self.epoch,
            write,
        }
    }

    /// Begins a write with the number of the attempt, which the head of the lane tells once it has taken effect.
    pub(super) fn begin(&self, lane: RecordLane, position: &mut Position) -> (u64, Transaction) {
        let (key, number) = (Keys::head(lane), position.next_attempt());
        let txn = Transaction::new()
            .expect(key.clone(), position.revision)
            .put(key, self.head(number).encode());
        (number, txn)
    }

    /// Commits a write. One that takes effect confirms the ownership.
    pub(super) async fn commit(
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
                shard.with(|dispatcher| dispatcher.confirm_ownership(began));
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
                    CallEffect::None => Attempt::Failed,
                    CallEffect::Unknown => Attempt::Unknown,
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
