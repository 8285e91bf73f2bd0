use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lagoon_jobs::dispatch::{Dispatcher, Effect, Serving};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::JobState;
use lagoon_jobs::record::{RecordLane, RecordNumber};
use smallvec::SmallVec;
use tokio::sync::{Notify, mpsc, watch};

use crate::owner::outcomes::Outcomes;

/// Time for which a question for a job's state waits for a final one. Callers ask when the last task has ended, which is
/// before its end is durable, and ask again only a quarter of a second later.
const OUTCOME_WAIT: Duration = Duration::from_millis(400);

/// The dispatcher of an owner under its lock, with the means to wake the tasks that drive it.
#[derive(Debug)]
pub(crate) struct Shard {
    dispatcher: Mutex<Dispatcher<Serving>>,
    orders: mpsc::UnboundedSender<Effect>,
    /// Something changed that may allow a placement.
    pub(super) changed: Notify,
    /// An executor appeared that is not recorded.
    pub(super) fleet_changed: Notify,
    /// Progress of a lane waits to be written.
    pub(super) to_record: [Notify; RecordLane::COUNT],
    /// Number of writes of progress that took effect.
    pub(super) recorded: watch::Sender<u64>,
    wakes: Mutex<HashMap<ExecutorSlot, Arc<Notify>>>,
    outcomes: Outcomes,
}

impl Shard {
    pub(super) fn open(
        dispatcher: Dispatcher<Serving>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Effect>) {
        let (orders, rx) = mpsc::unbounded_channel();
        let shard = Self {
            dispatcher: Mutex::new(dispatcher),
            orders,
            changed: Notify::new(),
            fleet_changed: Notify::new(),
            to_record: std::array::from_fn(|_| Notify::new()),
            recorded: watch::Sender::new(0),
            wakes: Mutex::default(),
            outcomes: Outcomes::default(),
        };
        (Arc::new(shard), rx)
    }

    /// Runs `f` under the lock; for questions.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Dispatcher<Serving>) -> R) -> R {
        f(&mut lock(&self.dispatcher))
    }

    /// Runs `f` under the lock and passes on what it decides; for changes.
    pub(super) fn change<R>(&self, f: impl FnOnce(&mut Dispatcher<Serving>) -> R) -> R {
        let (result, orders, to_record) = {
            let mut dispatcher = lock(&self.dispatcher);
            let result = f(&mut dispatcher);
            let waits = |lane: &RecordLane| dispatcher.records_waiting(*lane) > 0;
            let to_record: SmallVec<[RecordLane; RecordLane::COUNT]> =
                RecordLane::all().filter(waits).collect();
            (result, dispatcher.take_effects(), to_record)
        };
        for order in orders {
            // The receiver is gone only after the owner has stepped down; its orders are void then.
            let _ = self.orders.send(order);
        }
        for lane in to_record {
            self.to_record[lane.index()].notify_one();
        }
        self.changed.notify_one();
        result
    }

    /// Places what can be placed.
    pub(super) fn plan(&self, f: impl FnOnce(&mut Dispatcher<Serving>)) {
        let orders = {
            let mut dispatcher = lock(&self.dispatcher);
            f(&mut dispatcher);
            dispatcher.take_effects()
        };
        for order in orders {
            if let Effect::Start(start) = &order {
                self.wake(start.slot).notify_one();
            }
            // The receiver is gone only after the owner has stepped down; its orders are void then.
            let _ = self.orders.send(order);
        }
    }

    /// Returns the state of a job; waits a moment for a final one. `None` if there is no such job.
    pub(crate) async fn job_state(&self, id: JobId) -> Option<JobState> {
        let look = || {
            self.with(|dispatcher| dispatcher.job(id))
                .map(|view| view.state)
        };
        let is_settled = |state: &Option<JobState>| state.is_none_or(JobState::is_final);
        self.outcomes.wait(id, OUTCOME_WAIT, look, is_settled).await
    }

    /// Notes that progress of these jobs is durable, and wakes those who wait for their final states.
    pub(super) fn record_written(&self, jobs: &[(JobId, RecordNumber)]) {
        self.change(|dispatcher| dispatcher.recorded(jobs));
        self.recorded.send_modify(|count| *count += 1);
        self.outcomes.announce(jobs.iter().map(|(id, _)| *id));
    }

    /// Returns what wakes the task that drives an executor.
    pub(super) fn wake(&self, slot: ExecutorSlot) -> Arc<Notify> {
        lock(&self.wakes).entry(slot).or_default().clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
