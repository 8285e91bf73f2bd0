use lagoon_core::unit::{Millis, Resources};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::Label;

/// Specification of one step, which consists of a number of equal tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs on its executor.
    pub need: Resources,
    /// Estimated run time of a task, as declared by the caller.
    pub estimate: Millis,
    /// Numbers of the earlier steps that this step depends on.
    pub after: SmallVec<[u16; 4]>,
    /// Tasks save their progress and resume from it.
    pub saves_progress: bool,
    /// Tasks form a gang: they run only all at the same time, and end together.
    pub gang: bool,
    /// Tasks run longer if they are placed on several racks.
    pub prefers_one_rack: bool,
    /// Label that an executor must have.
    pub requires: Option<Label>,
    /// Rack that holds the data. Tasks run longer on other racks.
    pub data_rack: Option<Label>,
    /// Largest number of tasks of the step on one executor.
    pub max_per_executor: Option<u32>,
    /// Two runs of a task may exist at the same time.
    pub allows_copies: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Tasks use only processor time that other tasks leave unused.
    pub takes_leftovers: bool,
}

impl StepSpec {
    /// Returns a step with one task that needs no resources.
    pub fn single() -> Self {
        Self {
            count: 1,
            need: Resources::ZERO,
            estimate: Millis::ZERO,
            after: SmallVec::new(),
            saves_progress: false,
            gang: false,
            prefers_one_rack: false,
            requires: None,
            data_rack: None,
            max_per_executor: None,
            allows_copies: false,
            long_running: false,
            takes_leftovers: false,
        }
    }

    /// Returns the resources that are reserved for a task.
    pub fn reserved(&self) -> Resources {
        let mut need = self.need;
        if self.takes_leftovers {
            need.cpu = lagoon_core::unit::Millicores::ZERO;
        }
        need
    }
}

impl Default for StepSpec {
    fn default() -> Self {
        Self::single()
    }
}
