/// Result of a request to an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestResult {
    /// The complete response.
    Answered(String),
    /// The executor ran the request and reported a failure.
    Failed(String),
    /// The executor refused the request before it started.
    Refused,
    /// The request certainly did not reach the executor.
    NotSent,
    /// The response was lost; the request may have run.
    Lost,
    /// No response arrived in time; the request may have run.
    TimedOut,
}
