use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoon_core::id::{Epoch, ShardId};
use lagoon_core::shard::{Effect, Reply, Shard, ShardPhase, WaiterId};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::{Refusal, ResultCode};
use tokio::sync::{Notify, oneshot, watch};

use crate::cell::{InFlightGuard, OwnedShard, PlacedBy};
use crate::context::Context;
use crate::drive;

/// Holds a shard under a lock; empty while this process does not own the shard.
#[derive(Debug)]
pub(crate) struct ShardCell {
    id: ShardId,
    cx: Arc<Context>,
    owned: Mutex<Option<OwnedShard>>,
    /// Wakes the commit loop.
    pub(crate) commit: Notify,
    /// Number of calls in flight.
    in_flight: watch::Sender<usize>,
    /// Number of calls in flight that request or release worker leases.
    lease_calls: watch::Sender<usize>,
    /// Signals each change of the shard to the tasks in `wait_until`.
    changed: watch::Sender<()>,
    /// Phase of the ownership, for tasks that wait for it to change.
    phase: watch::Sender<ShardPhase>,
}

impl ShardCell {
    pub(crate) fn new(id: ShardId, cx: Arc<Context>) -> Arc<Self> {
        Arc::new(Self {
            id,
            cx,
            owned: Mutex::new(None),
            commit: Notify::new(),
            in_flight: watch::Sender::new(0),
            lease_calls: watch::Sender::new(0),
            changed: watch::Sender::new(()),
            phase: watch::Sender::new(ShardPhase::Standby),
        })
    }

    pub(crate) fn id(&self) -> &ShardId {
        &self.id
    }

    pub(crate) fn cx(&self) -> &Arc<Context> {
        &self.cx
    }

    pub(crate) fn phase(&self) -> ShardPhase {
        *self.phase.borrow()
    }

    pub(crate) fn watch_phase(&self) -> watch::Receiver<ShardPhase> {
        self.phase.subscribe()
    }

    /// Returns the epoch of the ownership, or `None` while this process does not own the shard.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.lock().as_ref().map(|owned| owned.shard.epoch())
    }

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn begin_call(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Counts a call that requests or releases a worker lease until the guard is dropped.
    pub(crate) fn begin_lease_call(&self) -> InFlightGuard {
        InFlightGuard::new(&self.lease_calls)
    }

    /// Waits until no such call is in flight, for at most `limit`. A call that ends later may leave a lease behind, and
    /// the successor then waits until it expires.
    pub(crate) async fn wait_for_lease_calls(&self, limit: Millis) {
        let mut rx = self.lease_calls.subscribe();
        let done = rx.wait_for(|count| *count == 0);
        let _ = tokio::time::timeout(limit.to_duration(), done).await;
    }

    /// Waits until no call is in flight.
    pub(crate) async fn wait_idle(&self) {
        let mut rx = self.in_flight.subscribe();
        let _ = rx.wait_for(|count| *count == 0).await;
    }

    /// Marks the shard as being claimed. Returns false if a claim is in progress or this process owns the shard.
    pub(crate) fn try_begin_claim(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let standby = *phase == ShardPhase::Standby;
            if standby {
                *phase = ShardPhase::Claiming;
            }
            standby
        })
    }

    /// Returns the shard to standby after a failed claim.
    pub(crate) fn abort_claim(&self) {
        self.set_phase(ShardPhase::Standby);
    }

    /// Installs a claimed shard and begins fencing.
    pub(crate) fn install(self: &Arc<Self>, shard: Shard, placed_by: PlacedBy) {
        let now = self.cx.clock.now();
        *self.lock() = Some(OwnedShard::new(shard, placed_by, now));
        let _ = self.with(|shard| shard.begin_fencing(now));
    }

    /// Returns true if the shard was placed here by election and has been owned here for `wait`.
    pub(crate) fn may_hand_over(&self, wait: Millis, now: Timestamp) -> bool {
        self.lock().as_ref().is_some_and(|owned| {
            owned.placed_by == PlacedBy::Election && now.since(owned.since) >= wait
        })
    }

    /// Waits until the shard meets a condition. Returns false if it does not within `limit`, or if the ownership ends
    /// first.
    pub(crate) async fn wait_until(
        self: &Arc<Self>,
        epoch: Epoch,
        limit: Millis,
        condition: impl Fn(&Shard) -> bool,
    ) -> bool {
        let mut changed = self.changed.subscribe();
        let met = async {
            loop {
                changed.mark_unchanged();
                match self.peek(epoch, &condition) {
                    Some(false) => {}
                    met => return met.is_some(),
                }
                if changed.changed().await.is_err() {
                    return false;
                }
            }
        };
        tokio::time::timeout(limit.to_duration(), met)
            .await
            .unwrap_or(false)
    }

    /// Changes the shard and executes the resulting effects.
    ///
    /// # Errors
    ///
    /// Refused with `not_owner` if this process doesn't own the shard.
    pub(crate) fn with<R>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Shard) -> R,
    ) -> Result<R, Refusal> {
        self.with_owned(|owned| change(&mut owned.shard))
    }

    /// Changes the shard only if it is still owned at `epoch`, because the result of a call must not be applied to a
    /// later ownership.
    pub(crate) fn with_epoch<R>(
        self: &Arc<Self>,
        epoch: Epoch,
        change: impl FnOnce(&mut Shard) -> R,
    ) -> Option<R> {
        let same = |shard: &mut Shard| (shard.epoch() == epoch).then(|| change(shard));
        self.with(same).ok().flatten()
    }

    /// Changes the shard for a caller that waits for a reply.
    pub(crate) fn with_waiter(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Shard, WaiterId),
    ) -> Result<oneshot::Receiver<Reply>, Refusal> {
        self.with_owned(|owned| {
            let (waiter, rx) = owned.add_waiter();
            change(&mut owned.shard, waiter);
            rx
        })
    }

    /// Reads the shard if it is still owned at `epoch`.
    fn peek<R>(&self, epoch: Epoch, read: impl FnOnce(&Shard) -> R) -> Option<R> {
        let guard = self.lock();
        let owned = guard
            .as_ref()
            .filter(|owned| owned.shard.epoch() == epoch)?;
        Some(read(&owned.shard))
    }

    fn with_owned<R>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut OwnedShard) -> R,
    ) -> Result<R, Refusal> {
        let (result, epoch, effects) = {
            let mut guard = self.lock();
            let owned = guard.as_mut().ok_or_else(|| self.not_owner())?;
            let result = change(owned);
            self.set_phase(owned.shard.phase());
            (result, owned.shard.epoch(), owned.send_replies())
        };
        self.execute(epoch, effects);
        if self.changed.receiver_count() > 0 {
            self.changed.send_replace(());
        }
        Ok(result)
    }

    fn execute(self: &Arc<Self>, epoch: Epoch, effects: Vec<Effect>) {
        for effect in effects {
            drive::execute(self, epoch, effect);
        }
    }

    /// Ends the ownership: releases the worker leases and replies to every waiting caller.
    pub(crate) fn step_down(self: &Arc<Self>) {
        let mut guard = self.lock();
        let Some(mut owned) = guard.take() else {
            return;
        };
        owned.shard.abandon();
        let epoch = owned.shard.epoch();
        let mut effects = owned.send_replies();
        self.set_phase(ShardPhase::Standby);
        drop(guard);
        self.changed.send_replace(());
        effects.retain(|effect| matches!(effect, Effect::ReleaseLease { .. }));
        self.execute(epoch, effects);
    }

    fn set_phase(&self, phase: ShardPhase) {
        self.phase.send_if_modified(|current| {
            let changed = *current != phase;
            *current = phase;
            changed
        });
    }

    fn not_owner(&self) -> Refusal {
        let text = format!(
            "shard {} is not owned by {}",
            self.id, self.cx.settings.process
        );
        Refusal::new(ResultCode::NotOwner, text)
    }

    fn lock(&self) -> MutexGuard<'_, Option<OwnedShard>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
