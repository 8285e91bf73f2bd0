//! Specification of a job, which consists of steps of one or more equal tasks.
//!
//! A [`JobSpec`] is validated when it is created, so that later code does not check it again:
//!
//! ```
//! use lagoon_jobs::spec::{JobSpec, SpecError, StepSpec};
//!
//! let step = StepSpec { after: [0].into_iter().collect(), ..StepSpec::single() };
//! let error = JobSpec::new("lot 7", vec![step], None).unwrap_err();
//! assert_eq!(error, SpecError::DependencyNotEarlier { step: 0, after: 0 });
//! ```

mod job_spec;
mod schedule;
mod spec_error;
mod step_spec;

pub use self::{
    job_spec::{JobSpec, MAX_STEPS},
    schedule::Schedule,
    spec_error::SpecError,
    step_spec::StepSpec,
};
