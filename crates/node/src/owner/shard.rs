use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{Dispatcher, Effect, Serving};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::JobState;
use lagoon_jobs::record::{RecordLane, RecordNumber};
use lagoon_platform::Admission;
use smallvec::SmallVec;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use crate::context::Context;
use crate::owner::outcome_waiters::OutcomeWaiters;

/// Time for which a request for a job's state waits for the final state. Callers send it when the last task has ended,
/// before the end is durable, and repeat it only 250 ms later.
const OUTCOME_WAIT: Duration = Duration::from_millis(400);
/// Resolution of the clock by which confirmations of the ownership are timed.
const CLOCK_RESOLUTION: Millis = Millis::new(1);

/// The dispatcher of an owner behind a lock, with the notifications for the tasks that drive it.
#[derive(Debug)]
pub(crate) struct Shard {
    dispatcher: Mutex<Dispatcher<Serving>>,
    effects: mpsc::UnboundedSender<Effect>,
    /// Notified of any change that may allow a placement.
    pub(super) changed: Notify,
    /// Notified of an executor that is not recorded yet.
    pub(super) fleet_changed: Notify,
    /// Notified of progress to write, one per lane.
    pub(super) records_ready: [Notify; RecordLane::COUNT],
    /// Number of writes of progress that took effect.
    pub(super) write_count: watch::Sender<u64>,
    /// Notified of a new connection for starts, which waits for a confirmation of the ownership.
    pub(super) confirmation_awaited: Notify,
    executor_wakers: Mutex<HashMap<ExecutorSlot, Arc<Notify>>>,
    outcome_waiters: OutcomeWaiters,
}

impl Shard {
    pub(super) fn open(
        dispatcher: Dispatcher<Serving>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Effect>) {
        let (effects, rx) = mpsc::unbounded_channel();
        let shard = Self {
            dispatcher: Mutex::new(dispatcher),
            effects,
            changed: Notify::new(),
            fleet_changed: Notify::new(),
            records_ready: std::array::from_fn(|_| Notify::new()),
            write_count: watch::Sender::new(0),
            confirmation_awaited: Notify::new(),
            executor_wakers: Mutex::default(),
            outcome_waiters: OutcomeWaiters::default(),
        };
        (Arc::new(shard), rx)
    }

    /// Runs `f` under the lock, for reads.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Dispatcher<Serving>) -> R) -> R {
        f(&mut lock(&self.dispatcher))
    }

    /// Runs `f` under the lock and passes on the effects, for changes.
    pub(super) fn change<R>(&self, f: impl FnOnce(&mut Dispatcher<Serving>) -> R) -> R {
        let (result, effects, records_ready) = {
            let mut dispatcher = lock(&self.dispatcher);
            let result = f(&mut dispatcher);
            let waits = |lane: &RecordLane| dispatcher.records_waiting(*lane) > 0;
            let records_ready: SmallVec<[RecordLane; RecordLane::COUNT]> =
                RecordLane::all().filter(waits).collect();
            (result, dispatcher.take_effects(), records_ready)
        };
        for effect in effects {
            // The receiver is gone only after the owner has stepped down, when effects no longer count.
            let _ = self.effects.send(effect);
        }
        for lane in records_ready {
            self.records_ready[lane.index()].notify_one();
        }
        self.changed.notify_one();
        result
    }

    /// Records that the store has confirmed the ownership in response to a request sent at `sent_at`.
    pub(super) fn confirm_ownership(&self, cx: &Context, sent_at: Timestamp) {
        self.with(|dispatcher| dispatcher.confirm_ownership(sent_at));
        self.admit_connections(cx);
    }

    /// Decides about the new connections for starts that are held back.
    pub(super) fn admit_connections(&self, cx: &Context) {
        cx.start_gate.admit(|address| {
            let allowed = self.with(|dispatcher| dispatcher.start_connections(address))?;
            // A time by the process's clock is converted with a reading of the other clock before and after, and with the
            // resolution, so that an error can only exclude a connection.
            let before = Instant::now();
            let now = cx.clock.now();
            let after = Instant::now();
            let longest = now
                .since(allowed.established_before)
                .saturating_add(CLOCK_RESOLUTION);
            let shortest = now
                .since(allowed.begun_after)
                .saturating_sub(CLOCK_RESOLUTION);
            Some(Admission {
                begun_after: after.checked_sub(shortest.to_duration()).unwrap_or(after),
                established_before: before.checked_sub(longest.to_duration())?,
            })
        });
    }

    /// Runs a placement pass under the lock and passes on the effects.
    pub(super) fn plan(&self, f: impl FnOnce(&mut Dispatcher<Serving>)) {
        let effects = {
            let mut dispatcher = lock(&self.dispatcher);
            f(&mut dispatcher);
            dispatcher.take_effects()
        };
        for effect in effects {
            if let Effect::Start(start) = &effect {
                self.waker(start.slot).notify_one();
            }
            // The receiver is gone only after the owner has stepped down, when effects no longer count.
            let _ = self.effects.send(effect);
        }
    }

    /// Returns the state of a job, and waits up to 400 ms for a final one; `None` if there is no such job.
    pub(crate) async fn job_state(&self, id: JobId) -> Option<JobState> {
        let read_state = || {
            self.with(|dispatcher| dispatcher.job(id))
                .map(|view| view.state)
        };
        let is_settled = |state: &Option<JobState>| state.is_none_or(JobState::is_final);
        self.outcome_waiters
            .wait(id, OUTCOME_WAIT, read_state, is_settled)
            .await
    }

    /// Records that progress of these jobs is durable, and wakes requests that wait for their final states.
    pub(super) fn mark_written(&self, jobs: &[(JobId, RecordNumber)]) {
        self.change(|dispatcher| dispatcher.recorded(jobs));
        self.write_count.send_modify(|count| *count += 1);
        self.outcome_waiters
            .wake_all(jobs.iter().map(|(id, _)| *id));
    }

    /// Returns the notification that wakes the task that drives an executor.
    pub(super) fn waker(&self, slot: ExecutorSlot) -> Arc<Notify> {
        lock(&self.executor_wakers).entry(slot).or_default().clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
