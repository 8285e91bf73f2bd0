use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};

use lagoon_core::id::TaskId;

use crate::util::lock;
use crate::workers::worker::Worker;

const SHARDS: usize = 16;

/// The worker that last started each task, sharded by task id.
#[derive(Debug, Default)]
pub(crate) struct Placements([Mutex<HashMap<TaskId, Arc<Worker>>>; SHARDS]);

impl Placements {
    /// Records the start of any attempt of a task, and returns the worker of the previous start.
    pub(crate) fn replace(&self, task: &TaskId, worker: Arc<Worker>) -> Option<Arc<Worker>> {
        let task = TaskId::new(task.work().clone(), task.index());
        let mut hasher = DefaultHasher::new();
        task.hash(&mut hasher);
        let index = hasher.finish() as usize % SHARDS;
        lock(&self.0[index]).insert(task, worker)
    }
}
