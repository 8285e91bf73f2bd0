use quick_error::quick_error;

quick_error! {
    /// Why the specification of a job is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum SpecError {
        /// The payload exceeds its limit.
        PayloadTooLarge { bytes: usize } {
            display("the payload has {bytes} bytes; at most 4,000 are allowed")
        }
        /// The job has no steps.
        NoSteps {
            display("the job has no steps; at least 1 is required")
        }
        /// The job has too many steps.
        TooManySteps { count: usize } {
            display("the job has {count} steps; at most 1,000 are allowed")
        }
        /// A step has no tasks or too many.
        TaskCount { step: usize, count: u32 } {
            display("step {step} has {count} tasks; 1 to 10,000 are allowed")
        }
        /// A step depends on itself or on a later step.
        DependencyNotEarlier { step: usize, after: u16 } {
            display("step {step} depends on step {after}, which is not an earlier step")
        }
    }
}
