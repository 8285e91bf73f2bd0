use std::net::SocketAddr;

use lagoon_process::Clock;
use lagoon_process::health::Readiness;
use lagoon_scheduler::{Scheduler, SchedulerSettings};
use tokio::runtime::{Builder, Runtime};

use super::calls::Calls;

/// A scheduler in its own runtime.
pub(crate) struct Process {
    pub(crate) address: SocketAddr,
    pub(crate) calls: Calls,
    scheduler: Scheduler,
    runtime: Runtime,
}

impl Process {
    pub(crate) async fn start(settings: SchedulerSettings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let bound = runtime.spawn(Scheduler::bind(settings, Clock::anchored()));
        let scheduler = bound.await.unwrap().unwrap();
        let address = scheduler.address();
        Self {
            address,
            calls: Calls::new(address),
            scheduler,
            runtime,
        }
    }

    pub(crate) fn readiness(&self) -> Readiness {
        self.scheduler.readiness().clone()
    }

    /// Stops gracefully.
    pub(crate) async fn stop(self) {
        let stopped = self.runtime.spawn(self.scheduler.stop());
        stopped.await.unwrap();
        self.runtime.shutdown_background();
    }

    /// Ends the process without notice to its peers.
    pub(crate) fn crash(self) {
        self.runtime.shutdown_background();
    }
}
