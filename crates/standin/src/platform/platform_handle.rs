use std::io;

use lagoon_platform::hosts::{ExecutorEntry, HostEntry, HostState, WorkerEntry};

use crate::executors::{ExecutorSettings, ExecutorsHandle, ExecutorsSettings};
use crate::hosts::{HostListHandle, HostListSettings};
use crate::platform::layout::{PlannedHost, plan_hosts};
use crate::platform::{Addresses, PlatformSettings};
use crate::store::StoreHandle;
use crate::workers::{WorkerSettings, WorkersHandle, WorkersSettings};

/// A running fake platform.
#[derive(Debug)]
pub struct PlatformHandle {
    /// The store.
    pub store: StoreHandle,
    /// The host list.
    pub hosts: HostListHandle,
    /// All workers.
    pub workers: WorkersHandle,
    /// All executors.
    pub executors: ExecutorsHandle,
    planned: Vec<PlannedHost>,
}

impl PlatformHandle {
    /// Starts a platform whose hosts are all visible from the start.
    pub async fn bind(settings: PlatformSettings) -> io::Result<Self> {
        let planned = plan_hosts(&settings).map_err(io::Error::other)?;
        let store = StoreHandle::bind(settings.store.clone()).await?;
        let workers = planned.iter().map(|host| WorkerSettings {
            worker: host.worker.clone(),
            rack: host.rack.clone(),
            capacity: settings.capacity,
        });
        let workers = WorkersHandle::bind(WorkersSettings {
            workers: workers.collect(),
            run_time_factor: settings.run_time_factor,
            ..WorkersSettings::default()
        });
        let workers = workers.await?;
        let executors = planned.iter().flat_map(|host| &host.executors);
        let executors = executors.map(|executor| ExecutorSettings {
            executor: executor.clone(),
            slots: settings.slots,
        });
        let executors = ExecutorsHandle::bind(ExecutorsSettings {
            executors: executors.collect(),
            ..ExecutorsSettings::default()
        });
        let executors = executors.await?;
        let entry = |host| host_entry(host, &settings, &workers, &executors);
        let hosts = HostListHandle::bind(HostListSettings {
            lag: settings.host_list_lag,
            hosts: planned.iter().map(entry).collect(),
            ..HostListSettings::default()
        });
        let hosts = hosts.await?;
        Ok(Self {
            store,
            hosts,
            workers,
            executors,
            planned,
        })
    }

    /// Returns the endpoints of all fakes.
    pub fn addresses(&self) -> Addresses {
        let worker = |host: &PlannedHost| {
            let endpoint = self.workers.endpoint(&host.worker);
            (host.worker.clone(), endpoint)
        };
        let executors = self.planned.iter().flat_map(|host| &host.executors);
        let executors = executors.map(|id| (id.clone(), self.executors.endpoint(id)));
        Addresses {
            store: self.store.endpoint(),
            hosts: self.hosts.endpoint(),
            worker_server: self.workers.address().into(),
            executor_server: self.executors.address().into(),
            workers: self.planned.iter().map(worker).collect(),
            executors: executors.collect(),
        }
    }

    /// Stops all fakes.
    pub async fn stop(self) {
        self.store.stop().await;
        self.hosts.stop().await;
        self.workers.stop().await;
        self.executors.stop().await;
    }
}

fn host_entry(
    planned: &PlannedHost,
    settings: &PlatformSettings,
    workers: &WorkersHandle,
    executors: &ExecutorsHandle,
) -> HostEntry {
    let executor = |id| ExecutorEntry {
        executor: Clone::clone(id),
        service: settings.service.clone(),
        address: executors.endpoint(id),
        slots: settings.slots,
        connections: settings.connections,
    };
    HostEntry {
        host: planned.host.clone(),
        address: workers.address().ip().to_string(),
        rack: planned.rack.clone(),
        failure_domain: planned.domain.clone(),
        state: HostState::Live,
        worker: Some(WorkerEntry {
            worker: planned.worker.clone(),
            address: workers.endpoint(&planned.worker),
            capacity: settings.capacity,
        }),
        executors: planned.executors.iter().map(executor).collect(),
    }
}
