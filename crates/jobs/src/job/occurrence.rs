use crate::job::Step;
use crate::spec::JobSpec;

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Steps, in the order of the specification.
    pub steps: Vec<Step>,
}

impl Occurrence {
    pub(crate) fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps().iter().map(Step::new).collect();
        Self { steps }
    }

    /// Returns true if all steps that `step` depends on are done.
    pub fn has_dependencies_done(&self, step: u16, spec: &JobSpec) -> bool {
        let after = &spec.steps()[usize::from(step)].after;
        let is_done = |number: &u16| self.steps[usize::from(*number)].is_done();
        after.iter().all(is_done)
    }

    /// Returns true if all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }
}
