use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::spec::{Schedule, SpecError, StepSpec};

/// Largest payload in bytes; the platform's limit for what a start carries.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most steps of a job. Far above what callers send, and bounds the memory that one job takes.
const MAX_STEPS: usize = 1_000;
/// Most tasks of one step. Far above what callers send, and bounds the memory that one job takes.
const MAX_TASKS: u32 = 10_000;

/// A job as its caller declared it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    payload: Arc<str>,
    steps: Vec<StepSpec>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    schedule: Option<Schedule>,
}

impl JobSpec {
    /// Puts a job together from its payload and steps.
    ///
    /// # Errors
    ///
    /// The first rule that the parts break.
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

    /// Returns what each start of a task carries.
    pub fn payload(&self) -> &Arc<str> {
        &self.payload
    }

    /// Returns the steps in their order.
    pub fn steps(&self) -> &[StepSpec] {
        &self.steps
    }

    /// Returns the times at which the steps run; none if they run once, at once.
    pub fn schedule(&self) -> Option<&Schedule> {
        self.schedule.as_ref()
    }

    /// Tells whether a task of the job runs until the job is cancelled.
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
