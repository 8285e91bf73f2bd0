use std::collections::HashMap;
use std::sync::Arc;

use crate::id::{QueueName, ServiceName};
use crate::policy::{Queue, Service};

/// One version of the operators' configuration of a cell.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CellPolicy {
    version: u64,
    queues: Vec<Arc<Queue>>,
    services: Vec<Service>,
    by_name: HashMap<QueueName, usize>,
    by_host: HashMap<String, Vec<usize>>,
}

impl CellPolicy {
    /// Creates a version and indexes its queues by name and host.
    pub fn new(version: u64, queues: Vec<Queue>, services: Vec<Service>) -> Self {
        let mut by_name = HashMap::new();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, queue) in queues.iter().enumerate() {
            by_name.insert(queue.name.clone(), i);
            by_host.entry(queue.host.clone()).or_default().push(i);
        }
        Self {
            version,
            queues: queues.into_iter().map(Arc::new).collect(),
            services,
            by_name,
            by_host,
        }
    }

    /// Returns the version number, which only increases.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the queues.
    pub fn queues(&self) -> &[Arc<Queue>] {
        &self.queues
    }

    /// Returns the services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns true if the configuration names a service.
    pub fn has_service(&self, name: &ServiceName) -> bool {
        self.services.iter().any(|service| service.name == *name)
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &QueueName) -> Option<&Arc<Queue>> {
        self.by_name.get(name).map(|i| &self.queues[*i])
    }

    /// Returns the queue of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let queues = self.by_host.get(host)?.iter().map(|i| &self.queues[*i]);
        queues
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
