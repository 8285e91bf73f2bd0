use std::collections::BTreeMap;

use lagoon_core::unit::Millis;

use crate::dispatch::{Dispatcher, Serving};
use crate::id::{JobId, QueueName};
use crate::job::JobState;

/// The state of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobView {
    /// The state. A final state is durable.
    pub state: JobState,
}

/// Waiting work of one queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Number of jobs without a started task.
    pub waiting: u32,
    /// Expected time until a job that is accepted now starts.
    pub wait: Millis,
}

/// Waiting work by queue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Load of each queue that has jobs.
    pub queues: BTreeMap<QueueName, QueueLoad>,
}

impl Dispatcher<Serving> {
    /// Returns the state of a job; `None` if the job is not known. A final state that is not durable is shown as running.
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

    /// Returns the waiting work of each queue.
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
