use quick_error::quick_error;

quick_error! {
    /// Why a job can't be accepted as it was declared.
    #[derive(Debug, Clone, PartialEq, Eq)]
    #[expect(missing_docs, reason = "quick_error takes no comments on fields")]
    pub enum SpecError {
        /// The payload is over its limit.
        PayloadTooLarge { bytes: usize } {
            display("the payload has {bytes} bytes; at most 4,000 are allowed")
        }
        /// The job has nothing to run.
        NoSteps {
            display("a job needs one step or more")
        }
        /// The job has more steps than are allowed.
        TooManySteps { count: usize } {
            display("the job has {count} steps; at most 1,000 are allowed")
        }
        /// A step has no task or more than are allowed.
        TaskCount { step: usize, count: u32 } {
            display("step {step} has {count} tasks; 1 to 10,000 are allowed")
        }
        /// A step waits for itself or for a later one.
        DependencyNotEarlier { step: usize, after: u16 } {
            display("step {step} waits for step {after}, which is not an earlier one")
        }
    }
}
