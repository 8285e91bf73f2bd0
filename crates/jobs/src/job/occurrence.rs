use crate::job::Step;
use crate::spec::JobSpec;

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<Step>,
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps().iter().map(Step::new).collect();
        Self { steps }
    }

    /// Tells whether the steps that `step` waits for are done.
    pub fn is_unlocked(&self, step: u16, spec: &JobSpec) -> bool {
        let after = &spec.steps()[usize::from(step)].after;
        let is_done = |number: &u16| self.steps[usize::from(*number)].is_done();
        after.iter().all(is_done)
    }

    /// Tells whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }
}
