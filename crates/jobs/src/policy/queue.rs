use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

use crate::id::{QueueName, ServiceName};
use crate::policy::AdviceCost;

/// A queue of jobs, with its priority and its objectives. Stored with each job, which runs on after its queue is removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Name of the queue.
    pub name: QueueName,
    /// Host name under which callers submit to it.
    pub host: String,
    /// Prefix of the paths that belong to it.
    pub prefix: String,
    /// Service whose executors run its tasks.
    pub service: ServiceName,
    /// Position in the order of placement. Work of a lower rank comes first and may preempt work of a higher one.
    pub rank: u32,
    /// Failed runs of a task after which its job fails.
    pub max_failures: u32,
    /// Factor on the expected time of the longest chain of steps, within which a job should end.
    pub stretch: f64,
    /// Time allowed on top of the stretched run time.
    pub target_latency: Millis,
    /// Cost of the placement adviser; `None` if placement needs no advice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceCost>,
}

impl Queue {
    /// Returns a queue with typical values, for documentation and tests.
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
