//! What a caller asks for: a job of steps, each of one or more equal tasks.
//!
//! A [`JobSpec`] can only be built from parts that make sense together, so no later code checks them again:
//!
//! ```
//! use lagoon_jobs::spec::{JobSpec, SpecProblem, StepSpec};
//!
//! let step = StepSpec { after: [0].into_iter().collect(), ..StepSpec::single() };
//! let problem = JobSpec::new("lot 7", vec![step], None).unwrap_err();
//! assert_eq!(problem, SpecProblem::NotEarlier { step: 0, after: 0 });
//! ```

mod job_spec;
mod schedule;
mod spec_error;
mod step_spec;

pub use self::{job_spec::JobSpec, schedule::Schedule, spec_error::SpecError, step_spec::StepSpec};
