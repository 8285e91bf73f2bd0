use std::collections::BTreeMap;

use lagoon_core::unit::Millis;

use crate::dispatch::{Dispatcher, Serving};
use crate::id::{JobId, QueueName};
use crate::job::JobState;

/// What is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobView {
    /// Its state. A final one is durable.
    pub state: JobState,
}

/// How much work of one queue waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Jobs without a started task.
    pub waiting: u32,
    /// Time until work that is accepted now is expected to begin.
    pub wait: Millis,
}

/// How much work waits, by queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Load of each queue that has jobs.
    pub queues: BTreeMap<QueueName, QueueLoad>,
}

impl Dispatcher<Serving> {
    /// Returns what is known of a job.
    pub fn job(&self, id: JobId) -> Option<JobView> {
        if let Some(state) = self.core.jobs.ended(id) {
            return Some(JobView { state });
        }
        let job = self.core.jobs.get(id)?;
        let is_durable = self.core.write_queue.is_durable(id, job.end_record);
        let state = match job.state() {
            state if state.is_final() && !is_durable => JobState::Running,
            state => state,
        };
        Some(JobView { state })
    }

    /// Returns how much work waits.
    pub fn backlog(&self) -> Backlog {
        let waiting = self.core.jobs.waiting().iter();
        let load = |(queue, waiting): (&QueueName, &u32)| {
            let wait = Millis::ZERO;
            (
                queue.clone(),
                QueueLoad {
                    waiting: *waiting,
                    wait,
                },
            )
        };
        Backlog {
            queues: waiting.map(load).collect(),
        }
    }
}
