use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoon_core::id::{Epoch, ShardId};
use lagoon_core::shard::{Effect, Reply, Shard, ShardPhase, WaiterId};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::{Refusal, ResultCode};
use tokio::sync::{Notify, oneshot, watch};

use crate::cell::{InFlightGuard, OwnedShard, PlacedBy};
use crate::context::Context;
use crate::drive;

/// Place of a shard in this process: empty while another process owns it.
#[derive(Debug)]
pub(crate) struct ShardCell {
    id: ShardId,
    cx: Arc<Context>,
    owned: Mutex<Option<OwnedShard>>,
    /// Wakes the commit loop.
    pub(crate) commit: Notify,
    /// Number of calls in flight.
    in_flight: watch::Sender<usize>,
    /// Number of calls about worker leases in flight.
    lease_calls: watch::Sender<usize>,
    /// Signals a change of the shard to whoever waits for one.
    changed: watch::Sender<()>,
    /// Phase of the ownership, for whoever waits for a change of it.
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

    /// Returns the epoch of the ownership; none while another process owns the shard.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.lock().as_ref().map(|owned| owned.shard.epoch())
    }

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn begin_call(&self) -> InFlightGuard {
        InFlightGuard::new(&self.in_flight)
    }

    /// Counts a call that takes or releases a worker lease until the guard is dropped.
    pub(crate) fn begin_lease_call(&self) -> InFlightGuard {
        InFlightGuard::new(&self.lease_calls)
    }

    /// Waits until no such call is in flight, for at most `limit`. One that is answered later may leave a lease behind,
    /// which the successor then has to wait for.
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

    /// Notes that a claim is under way; returns false if one is already or the shard is owned here.
    pub(crate) fn try_begin_claim(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let free = *phase == ShardPhase::Standby;
            if free {
                *phase = ShardPhase::Claiming;
            }
            free
        })
    }

    /// Notes that the claim failed.
    pub(crate) fn abort_claim(&self) {
        self.set_phase(ShardPhase::Standby);
    }

    /// Puts an owned shard in place.
    pub(crate) fn install(self: &Arc<Self>, shard: Shard, placed_by: PlacedBy) {
        let now = self.cx.clock.now();
        *self.lock() = Some(OwnedShard::new(shard, placed_by, now));
        let _ = self.with(|shard| shard.begin_fencing(now));
    }

    /// Tells whether the shard was placed here by election and has been here for `wait`.
    pub(crate) fn may_hand_over(&self, wait: Millis, now: Timestamp) -> bool {
        self.lock().as_ref().is_some_and(|owned| {
            owned.placed_by == PlacedBy::Election && now.since(owned.since) >= wait
        })
    }

    /// Waits until the shard meets a condition. Returns false if it did not within `limit`, or if the
    /// ownership ended.
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

    /// Changes the shard and carries out what follows.
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

    /// Changes the shard only if it is still owned at `epoch`, because results of calls belong to the ownership that
    /// made them.
    pub(crate) fn with_epoch<R>(
        self: &Arc<Self>,
        epoch: Epoch,
        change: impl FnOnce(&mut Shard) -> R,
    ) -> Option<R> {
        let same = |shard: &mut Shard| (shard.epoch() == epoch).then(|| change(shard));
        self.with(same).ok().flatten()
    }

    /// Changes the shard on behalf of a caller that waits for a reply.
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

    /// Looks at the shard if it is still owned at `epoch`.
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

    /// Gives the shard up; callers that wait are told what is known.
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
