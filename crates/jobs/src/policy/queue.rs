use lagoon_core::unit::Millis;

use crate::id::{QueueName, ServiceName};
use crate::policy::AdviceCost;

/// A queue of jobs and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host name that callers use for it.
    pub host: String,
    /// First part of the paths that belong to it.
    pub prefix: String,
    /// Service whose executors run its tasks.
    pub service: ServiceName,
    /// Place in the order of service; 0 comes first and may displace others.
    pub rank: u32,
    /// Failed runs after which a task is given up.
    pub max_failures: u32,
    /// Factor of the longest chain of work within which a job should end.
    pub stretch: f64,
    /// Time beyond the stretched work within which a job should end.
    pub target_latency: Millis,
    /// Set if placement needs advice.
    pub advice: Option<AdviceCost>,
}

impl Queue {
    /// Returns a queue with ordinary values, for documentation and tests.
    ///
    /// # Panics
    ///
    /// If `name` is not a valid name.
    pub fn example(name: &str, host: &str, prefix: &str) -> Self {
        Self {
            name: name.parse().expect("a valid queue name"),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            service: "service".parse().expect("a valid service name"),
            rank: 0,
            max_failures: 3,
            stretch: 2.0,
            target_latency: Millis::new(1_000),
            advice: None,
        }
    }
}
