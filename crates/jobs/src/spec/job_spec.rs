use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::spec::{Schedule, SpecError, StepSpec};

/// Largest payload in bytes, which is the platform's limit for a start request.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Largest number of steps of a job. It bounds the memory of one job and is far above what callers send.
pub const MAX_STEPS: usize = 1_000;
/// Largest number of tasks of one step. It bounds the memory of one job and is far above what callers send.
const MAX_TASKS: u32 = 10_000;

/// Specification of a job, as submitted by its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    payload: Arc<str>,
    steps: Vec<StepSpec>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    schedule: Option<Schedule>,
}

impl JobSpec {
    /// Creates a specification from a payload, steps and an optional schedule.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule if the payload or a step is not valid.
    pub fn new(
        payload: &str,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
    ) -> Result<Self, SpecError> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::PayloadTooLarge {
                bytes: payload.len(),
            });
        }
        if steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if steps.len() > MAX_STEPS {
            return Err(SpecError::TooManySteps { count: steps.len() });
        }
        for (number, step) in steps.iter().enumerate() {
            check_step(number, step)?;
        }
        let payload = payload.into();
        Ok(Self {
            payload,
            steps,
            schedule,
        })
    }

    /// Returns the payload, which is sent with each start of a task.
    pub fn payload(&self) -> &Arc<str> {
        &self.payload
    }

    /// Returns the steps in their order.
    pub fn steps(&self) -> &[StepSpec] {
        &self.steps
    }

    /// Returns the times at which the steps run; `None` if they run once, immediately.
    pub fn schedule(&self) -> Option<&Schedule> {
        self.schedule.as_ref()
    }

    /// Returns true if some task of the job runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

fn check_step(number: usize, step: &StepSpec) -> Result<(), SpecError> {
    if step.count == 0 || step.count > MAX_TASKS {
        return Err(SpecError::TaskCount {
            step: number,
            count: step.count,
        });
    }
    match step
        .after
        .iter()
        .find(|after| usize::from(**after) >= number)
    {
        Some(&after) => Err(SpecError::DependencyNotEarlier {
            step: number,
            after,
        }),
        None => Ok(()),
    }
}
