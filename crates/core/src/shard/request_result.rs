/// Result of a request to an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestResult {
    /// The whole answer.
    Answered(String),
    /// The executor ran the request and reported a failure.
    Failed(String),
    /// The executor refused before it started the request.
    Refused,
    /// The executor was certainly not reached.
    NotSent,
    /// The answer was lost.
    Lost,
    /// No answer came in time.
    TimedOut,
}
