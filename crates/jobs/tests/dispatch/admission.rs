//! What a caller may declare.

use lagoon_jobs::id::{JobId, TaskKey};
use lagoon_jobs::spec::{JobSpec, SpecError, StepSpec};

use crate::harness::step;

cases! {
    /// Guards against a job that could never end because a step waits for itself or a later one.
    a_step_waits_only_for_earlier_ones {
        let loops = StepSpec { after: [1].into_iter().collect(), ..step(1, 1) };
        let problem = JobSpec::new("p", vec![loops, step(1, 1)], None).unwrap_err();
        assert_eq!(problem, SpecError::DependencyNotEarlier { step: 0, after: 1 });
    }

    /// Guards against jobs without work, which would be done at once or never.
    empty_jobs_and_steps_are_refused {
        assert_eq!(JobSpec::new("p", vec![], None).unwrap_err(), SpecError::NoSteps);
        let problem = JobSpec::new("p", vec![step(0, 1)], None).unwrap_err();
        assert_eq!(problem, SpecError::TaskCount { step: 0, count: 0 });
    }

    /// Guards against payloads that a start can't carry.
    large_payloads_are_refused {
        let payload = "x".repeat(4_001);
        let problem = JobSpec::new(&payload, vec![step(1, 1)], None).unwrap_err();
        assert_eq!(problem, SpecError::PayloadTooLarge { bytes: 4_001 });
    }

    /// Guards against ids that are read as another job's: only lower-case digits keep their form.
    ids_have_one_form {
        for text in ["", "5c0e7a21d94b36f", "5c0e7a21d94b36f88", "5C0E7A21D94B36F8", "+c0e7a21d94b36f8"] {
            assert!(text.parse::<JobId>().is_err(), "{text}");
        }
        let task: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
        assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    }
}
