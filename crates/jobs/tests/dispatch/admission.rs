//! Tests of the validation of job specifications and ids.

use lagoon_jobs::id::{JobId, TaskKey};
use lagoon_jobs::spec::{JobSpec, SpecError, StepSpec};

use crate::harness::step;

cases! {
    /// Guards against a job that could never end because a step depends on itself or on a later step.
    a_step_depends_only_on_earlier_steps {
        let dependent = StepSpec { after: [1].into_iter().collect(), ..step(1, 1) };
        let error = JobSpec::new("p", vec![dependent, step(1, 1)], None).unwrap_err();
        assert_eq!(error, SpecError::DependencyNotEarlier { step: 0, after: 1 });
    }

    /// Guards against jobs without tasks, which would be done at once or never.
    empty_jobs_and_steps_are_refused {
        assert_eq!(JobSpec::new("p", vec![], None).unwrap_err(), SpecError::NoSteps);
        let error = JobSpec::new("p", vec![step(0, 1)], None).unwrap_err();
        assert_eq!(error, SpecError::TaskCount { step: 0, count: 0 });
    }

    /// Guards against payloads that exceed the platform's limit for a start request.
    large_payloads_are_refused {
        let payload = "x".repeat(4_001);
        let error = JobSpec::new(&payload, vec![step(1, 1)], None).unwrap_err();
        assert_eq!(error, SpecError::PayloadTooLarge { bytes: 4_001 });
    }

    /// Guards against several spellings of one id. Only 16 lower-case hexadecimal digits are accepted.
    ids_have_one_spelling {
        for text in ["", "5c0e7a21d94b36f", "5c0e7a21d94b36f88", "5C0E7A21D94B36F8", "+c0e7a21d94b36f8"] {
            assert!(text.parse::<JobId>().is_err(), "{text}");
        }
        let task: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
        assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    }
}
