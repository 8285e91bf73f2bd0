use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoon_jobs::dispatch::{Dispatcher, Order, Serving};
use lagoon_jobs::fleet::ExecutorSlot;
use tokio::sync::{Notify, mpsc, watch};

/// The dispatcher of an owner under its lock, with the means to wake the tasks that drive it.
#[derive(Debug)]
pub(crate) struct Shard {
    dispatcher: Mutex<Dispatcher<Serving>>,
    orders: mpsc::UnboundedSender<Order>,
    /// Something changed that may allow a placement.
    pub(super) changed: Notify,
    /// Progress waits to be written.
    pub(super) to_record: Notify,
    /// Number of writes of progress that took effect.
    pub(super) recorded: watch::Sender<u64>,
    wakes: Mutex<HashMap<ExecutorSlot, Arc<Notify>>>,
}

impl Shard {
    pub(super) fn open(
        dispatcher: Dispatcher<Serving>,
    ) -> (Arc<Self>, mpsc::UnboundedReceiver<Order>) {
        let (orders, rx) = mpsc::unbounded_channel();
        let shard = Self {
            dispatcher: Mutex::new(dispatcher),
            orders,
            changed: Notify::new(),
            to_record: Notify::new(),
            recorded: watch::Sender::new(0),
            wakes: Mutex::default(),
        };
        (Arc::new(shard), rx)
    }

    /// Runs `f` under the lock; for questions.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Dispatcher<Serving>) -> R) -> R {
        f(&mut lock(&self.dispatcher))
    }

    /// Runs `f` under the lock and passes on what it decides; for changes.
    pub(super) fn change<R>(&self, f: impl FnOnce(&mut Dispatcher<Serving>) -> R) -> R {
        let (result, orders, has_records) = {
            let mut dispatcher = lock(&self.dispatcher);
            let result = f(&mut dispatcher);
            (result, dispatcher.take_orders(), dispatcher.has_records())
        };
        for order in orders {
            // The receiver is gone only after the owner has stepped down; its orders are void then.
            let _ = self.orders.send(order);
        }
        if has_records {
            self.to_record.notify_one();
        }
        self.changed.notify_one();
        result
    }

    /// Places what can be placed.
    pub(super) fn plan(&self, f: impl FnOnce(&mut Dispatcher<Serving>)) {
        let orders = {
            let mut dispatcher = lock(&self.dispatcher);
            f(&mut dispatcher);
            dispatcher.take_orders()
        };
        for order in orders {
            if let Order::Start(start) = &order {
                self.wake(start.slot).notify_one();
            }
            // The receiver is gone only after the owner has stepped down; its orders are void then.
            let _ = self.orders.send(order);
        }
    }

    /// Returns what wakes the task that drives an executor.
    pub(super) fn wake(&self, slot: ExecutorSlot) -> Arc<Notify> {
        lock(&self.wakes).entry(slot).or_default().clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
