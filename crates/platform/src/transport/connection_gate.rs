use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};

use crate::transport::not_admitted::NotAdmitted;
use crate::transport::{Admission, HeldBack};

/// Holds back the new connections of a transport until the caller decides about them, so that a request reaches only processes about
/// which enough is known. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ConnectionGate(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    held_back: Mutex<Vec<Waiting>>,
    arrived: Notify,
}

#[derive(Debug)]
struct Waiting {
    connection: HeldBack,
    decision: oneshot::Sender<Result<(), NotAdmitted>>,
}

impl ConnectionGate {
    /// Waits until a connection is held back.
    pub async fn wait_for_connection(&self) {
        self.0.arrived.notified().await;
    }

    /// Returns the connections that are held back.
    pub fn held_back(&self) -> SmallVec<[HeldBack; 8]> {
        let waiting = self.lock();
        let open = waiting.iter().filter(|w| !w.decision.is_closed());
        open.map(|w| w.connection).collect()
    }

    /// Decides about the connections that are held back. `decide` returns which connections to an address are admitted; without
    /// that they stay held back. It is called under the lock of the gate.
    pub fn admit(&self, decide: impl Fn(SocketAddr) -> Option<Admission>) {
        let mut waiting = self.lock();
        for w in std::mem::take(&mut *waiting) {
            let admission = decide(w.connection.address);
            match admission.and_then(|admission| admission.decide(&w.connection)) {
                // Sending fails if the call was given up.
                Some(decision) => drop(w.decision.send(decision)),
                None if w.decision.is_closed() => {}
                None => waiting.push(w),
            }
        }
    }

    /// Waits until a connection is admitted.
    ///
    /// # Errors
    ///
    /// If it is refused.
    pub(crate) async fn pass(&self, connection: HeldBack) -> Result<(), NotAdmitted> {
        let (decision, rx) = oneshot::channel();
        self.lock().push(Waiting {
            connection,
            decision,
        });
        self.0.arrived.notify_one();
        // The sender is dropped only with the gate.
        rx.await.unwrap_or(Err(NotAdmitted))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.0
            .held_back
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
